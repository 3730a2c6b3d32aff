package mppeer

import (
	"context"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"mustardpost.org/core/common/mperror"
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
	client  *Client
	ctx     context.Context
	receive func([]mpquorum.Envelope)

	mu    sync.Mutex
	lines map[string]chan mpquorum.Envelope
}

// NewSender returns a sender that works until ctx ends and passes replies to
// receive.
func NewSender(ctx context.Context, client *Client, receive func([]mpquorum.Envelope)) *Sender {
	return &Sender{client: client, ctx: ctx, receive: receive, lines: map[string]chan mpquorum.Envelope{}}
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
	list := []mpquorum.Envelope{first}
	for len(list) < batchSize {
		select {
		case e := <-line:
			list = append(list, e)
			continue
		default:
		}
		break
	}
	return EncodeEnvelopes(list)
}

func (s *Sender) flush(address string, batch [][]byte) {
	peer, err := s.client.Stub(address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, stepDeadline)
	defer cancel()
	reply, err := peer.Step(ctx, &mpwire.StepRequest{Messages: batch})
	if err != nil {
		return // The protocol repeats lost messages.
	}
	if replies, err := DecodeEnvelopes(reply.GetMessages()); err == nil && len(replies) > 0 {
		s.receive(replies)
	}
}

// DecodeEnvelopes returns the messages of a StepRequest or StepReply.
func DecodeEnvelopes(encoded [][]byte) ([]mpquorum.Envelope, error) {
	list := make([]mpquorum.Envelope, len(encoded))
	for i, data := range encoded {
		if err := msgpack.Unmarshal(data, &list[i]); err != nil {
			return nil, mperror.Wrap(mperror.ErrInvalid, "message: %v", err)
		}
	}
	return list, nil
}

// EncodeEnvelopes returns the wire form of messages.
func EncodeEnvelopes(list []mpquorum.Envelope) [][]byte {
	var encoded [][]byte
	for _, e := range list {
		if data, err := msgpack.Marshal(e); err == nil {
			encoded = append(encoded, data)
		}
	}
	return encoded
}
