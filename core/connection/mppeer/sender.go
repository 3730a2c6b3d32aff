package mppeer

import (
	"context"
	"errors"
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
	queueCapacity    = 1024
	maxBatchMessages = 64
	stepTimeout      = 2 * time.Second
)

// Sender sends replication messages to other voters, one call at a time per
// address. Messages queued during a call are sent as one batch by the next call.
// When the queue is full, new messages are dropped: the replication protocol
// tolerates lost messages.
type Sender struct {
	client  *Client
	ctx     context.Context
	receive func([]mpquorum.Envelope)

	mu     sync.Mutex
	queues map[string]chan mpquorum.Envelope
}

// NewSender returns a sender that runs until ctx ends and passes the messages in
// replies to receive.
func NewSender(ctx context.Context, client *Client, receive func([]mpquorum.Envelope)) *Sender {
	return &Sender{client: client, ctx: ctx, receive: receive, queues: map[string]chan mpquorum.Envelope{}}
}

// Send queues e for address and never blocks.
func (s *Sender) Send(address string, e mpquorum.Envelope) {
	select {
	case s.queue(address) <- e:
	default:
	}
}

func (s *Sender) queue(address string) chan mpquorum.Envelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue, ok := s.queues[address]
	if !ok {
		queue = make(chan mpquorum.Envelope, queueCapacity)
		s.queues[address] = queue
		go s.run(address, queue)
	}
	return queue
}

func (s *Sender) run(address string, queue chan mpquorum.Envelope) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case e := <-queue:
			s.flush(address, collectBatch(e, queue))
		}
	}
}

func collectBatch(first mpquorum.Envelope, queue chan mpquorum.Envelope) [][]byte {
	list := []mpquorum.Envelope{first}
	for len(list) < maxBatchMessages {
		select {
		case e := <-queue:
			list = append(list, e)
			continue
		default:
		}
		break
	}
	return EncodeEnvelopes(list)
}

// flush sends a batch, and once more over a new connection if that of the first call is silent: the
// messages may be those of an election.
func (s *Sender) flush(address string, batch [][]byte) {
	reply, err := s.step(address, batch)
	if errors.Is(err, ErrSilent) {
		reply, err = s.step(address, batch)
	}
	if err != nil {
		return // The replication protocol resends lost messages.
	}
	if replies, err := DecodeEnvelopes(reply.GetMessages()); err == nil && len(replies) > 0 {
		s.receive(replies)
	}
}

func (s *Sender) step(address string, batch [][]byte) (*mpwire.StepReply, error) {
	peer, err := s.client.Stub(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(s.ctx, stepTimeout)
	defer cancel()
	return peer.Step(ctx, &mpwire.StepRequest{Messages: batch})
}

// DecodeEnvelopes decodes the messages of a StepRequest or StepReply.
func DecodeEnvelopes(encoded [][]byte) ([]mpquorum.Envelope, error) {
	list := make([]mpquorum.Envelope, len(encoded))
	for i, data := range encoded {
		if err := msgpack.Unmarshal(data, &list[i]); err != nil {
			return nil, mperror.Wrap(mperror.ErrInvalid, "message: %v", err)
		}
	}
	return list, nil
}

// EncodeEnvelopes encodes messages for a StepRequest or StepReply.
func EncodeEnvelopes(list []mpquorum.Envelope) [][]byte {
	var encoded [][]byte
	for _, e := range list {
		if data, err := msgpack.Marshal(e); err == nil {
			encoded = append(encoded, data)
		}
	}
	return encoded
}
