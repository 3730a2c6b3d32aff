package mppeer

import (
	"context"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpquorum"
	"mustardpost.org/core/process/mpreplica"
)

var _ mpreplica.Sender = (*Sender)(nil)

const (
	lineSize     = 1024
	batchSize    = 64
	stepDeadline = 2 * time.Second
)

// Sender passes replication messages on, one call at a time to each address.
// Messages that arrive meanwhile travel together; when too many wait, new ones
// are dropped, which the protocol tolerates.
type Sender struct {
	client *Client
	ctx    context.Context

	mu    sync.Mutex
	lines map[string]chan mpquorum.Envelope
}

// NewSender returns a sender that works until ctx ends.
func NewSender(ctx context.Context, client *Client) *Sender {
	return &Sender{client: client, ctx: ctx, lines: map[string]chan mpquorum.Envelope{}}
}

// Send queues e for address.
func (s *Sender) Send(address string, e mpquorum.Envelope) {
	select {
	case s.line(address) <- e:
	default:
	}
}

func (s *Sender) line(address string) chan mpquorum.Envelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	line, ok := s.lines[address]
	if !ok {
		line = make(chan mpquorum.Envelope, lineSize)
		s.lines[address] = line
		go s.run(address, line)
	}
	return line
}

func (s *Sender) run(address string, line chan mpquorum.Envelope) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case e := <-line:
			s.flush(address, gather(e, line))
		}
	}
}

func gather(first mpquorum.Envelope, line chan mpquorum.Envelope) [][]byte {
	var batch [][]byte
	e := first
	for {
		if data, err := msgpack.Marshal(e); err == nil {
			batch = append(batch, data)
		}
		if len(batch) >= batchSize {
			return batch
		}
		select {
		case e = <-line:
		default:
			return batch
		}
	}
}

func (s *Sender) flush(address string, batch [][]byte) {
	peer, err := s.client.To(address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, stepDeadline)
	defer cancel()
	// A lost message is repeated by the protocol.
	_, _ = peer.Step(ctx, &mpwire.StepRequest{Messages: batch})
}
