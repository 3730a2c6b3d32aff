package mpanswer

import (
	"bytes"
	"net"
	"sync"

	"mustardpost.org/core/common/mperror"
)

// conn checks the head of each answer before the last part of it can be read. It is safe for one reader beside
// one writer.
type conn struct {
	net.Conn
	maxHeadBytes int

	mu sync.Mutex
	// isAwaited is set from the beginning of an exchange until the head of its answer is complete.
	isAwaited bool
	// head is what has arrived of a head, and headBytes the size of the heads before it in this exchange.
	head      []byte
	headBytes int
	err       error
}

// begin starts an exchange. What arrived before belongs to another one.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isAwaited, c.head, c.headBytes = true, nil, 0
}

// isAnswered reports whether the whole head of an answer has arrived since begin.
func (c *conn) isAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isAwaited
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if checkErr := c.check(b[:n]); checkErr != nil {
		return 0, checkErr
	}
	return n, err
}

// check looks for heads in what has arrived. Several interim ones may come before that of the answer.
func (c *conn) check(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.err == nil && c.isAwaited && len(data) > 0 {
		seen := len(c.head)
		arrived := data
		if seen > 0 {
			c.head = append(c.head, data...)
			arrived = c.head
		}
		end := headEnd(arrived, seen)
		if end == 0 {
			if seen == 0 {
				c.head = bytes.Clone(data)
			}
			c.checkSize(len(c.head))
			break
		}
		status, err := checkHead(arrived[:end])
		c.err, c.isAwaited = err, status < minFinalStatus
		c.checkSize(end)
		c.headBytes += end
		data, c.head = data[end-seen:], nil
	}
	return c.err
}

// checkSize checks the size of the heads of an exchange, with n bytes of the one that arrives. The caller holds
// c.mu.
func (c *conn) checkSize(n int) {
	if c.err == nil && c.headBytes+n > c.maxHeadBytes {
		c.err = mperror.Wrap(ErrMalformed, "heads of more than %d bytes", c.maxHeadBytes)
	}
}
