package mpattempt

import (
	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mpset"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/request/mppermit"
)

// EncodeAcquire returns the wire message that requests a permit.
func EncodeAcquire(group string, epoch uint64, req mppermit.Request) *mpwire.AcquireRequest {
	return &mpwire.AcquireRequest{
		Vm:         req.VM,
		Group:      group,
		Epoch:      epoch,
		Attempt:    uint64(req.Attempt),
		Account:    req.Account,
		Weight:     uint32(max(req.Weight, 1)),
		Priority:   int32(req.Priority),
		LeftMs:     mptime.Millis(req.Remaining),
		PatienceMs: mptime.Millis(req.MaxExpectedWait),
		Prefix:     req.PrefixHash,
		Alone:      req.Exclusive,
		Hedge:      req.Hedge,
		Avoid:      req.Exclude.Sorted(),
		Work:       uint32(max(req.Work, 1)),
	}
}

// DecodeAcquire is the inverse of EncodeAcquire.
func DecodeAcquire(r *mpwire.AcquireRequest) mppermit.Request {
	return mppermit.Request{
		Attempt:         mppermit.Attempt(r.GetAttempt()),
		VM:              r.GetVm(),
		Account:         r.GetAccount(),
		Weight:          int(r.GetWeight()),
		Priority:        int(r.GetPriority()),
		Remaining:       mptime.FromMillis(r.GetLeftMs()),
		MaxExpectedWait: mptime.FromMillis(r.GetPatienceMs()),
		PrefixHash:      r.GetPrefix(),
		Exclusive:       r.GetAlone(),
		Hedge:           r.GetHedge(),
		Exclude:         mpset.Of(r.GetAvoid()...),
		Work:            int(r.GetWork()),
	}
}

// EncodeDecision returns the wire message for a decision.
func EncodeDecision(d mppermit.Decision) *mpwire.AcquireReply {
	switch d := d.(type) {
	case mppermit.Grant:
		return &mpwire.AcquireReply{
			Upstream: d.Upstream, HedgeMs: mptime.Millis(d.HedgeDelay), Limit: uint32(d.Limit), Instance: d.Instance,
		}
	case mppermit.Refusal:
		return &mpwire.AcquireReply{Cause: wireCause(d.Cause), RetryMs: mptime.Millis(d.RetryAfter)}
	}
	return &mpwire.AcquireReply{Cause: mpwire.AcquireReply_NOT_OWNER}
}

func wireCause(c mppermit.Cause) mpwire.AcquireReply_Cause {
	switch c {
	case mppermit.Late:
		return mpwire.AcquireReply_LATE
	case mppermit.NoUpstream:
		return mpwire.AcquireReply_EMPTY
	case mppermit.OwnerStarting:
		return mpwire.AcquireReply_STARTING
	case mppermit.Full:
	}
	return mpwire.AcquireReply_FULL
}

func decodeDecision(a mppermit.Attempt, r *mpwire.AcquireReply) (mppermit.Decision, error) {
	refuse := func(c mppermit.Cause) mppermit.Decision {
		return mppermit.Refusal{Attempt: a, Cause: c, RetryAfter: mptime.FromMillis(r.GetRetryMs())}
	}
	switch r.GetCause() {
	case mpwire.AcquireReply_GRANTED:
		return mppermit.Grant{
			Attempt:    a,
			Upstream:   r.GetUpstream(),
			HedgeDelay: mptime.FromMillis(r.GetHedgeMs()),
			Limit:      int(r.GetLimit()),
			Instance:   r.GetInstance(),
		}, nil
	case mpwire.AcquireReply_LATE:
		return refuse(mppermit.Late), nil
	case mpwire.AcquireReply_EMPTY:
		return refuse(mppermit.NoUpstream), nil
	case mpwire.AcquireReply_STARTING:
		return refuse(mppermit.OwnerStarting), nil
	case mpwire.AcquireReply_FULL:
		return refuse(mppermit.Full), nil
	case mpwire.AcquireReply_NOT_OWNER:
	}
	return nil, mperror.ErrNotOwner
}

func encodeSettle(vm string, batch []queuedSettlement) *mpwire.SettleRequest {
	r := &mpwire.SettleRequest{Vm: vm}
	for _, s := range batch {
		r.Settlements = append(r.Settlements, &mpwire.Settlement{
			Group:    s.group,
			Attempt:  uint64(s.settlement.Attempt),
			End:      mpwire.Settlement_End(s.settlement.Outcome),
			TookMs:   mptime.Millis(s.settlement.ServiceTime),
			Instance: s.settlement.Instance,
			Cold:     s.settlement.Cold,
		})
	}
	return r
}

// DecodeSettlement decodes one element of a SettleRequest.
func DecodeSettlement(s *mpwire.Settlement) mppermit.Settlement {
	return mppermit.Settlement{
		Attempt:     mppermit.Attempt(s.GetAttempt()),
		Outcome:     mppermit.Outcome(s.GetEnd()),
		ServiceTime: mptime.FromMillis(s.GetTookMs()),
		Instance:    s.GetInstance(),
		Cold:        s.GetCold(),
	}
}

func encodeRegister(vm string, revision uint64, groups []string, registrations map[string]mppermit.Registration) *mpwire.RegisterRequest {
	r := &mpwire.RegisterRequest{Vm: vm, Revision: revision, Groups: groups}
	for group, reg := range registrations {
		for _, h := range reg.Held {
			r.Held = append(r.Held, &mpwire.Held{
				Group:    group,
				Attempt:  uint64(h.Attempt),
				Upstream: h.Upstream,
				LeftMs:   mptime.Millis(h.Remaining),
				Alone:    h.Exclusive,
			})
		}
		for _, o := range reg.Observations {
			r.Seen = append(r.Seen, &mpwire.Seen{
				Group:    group,
				Upstream: o.Upstream,
				Limit:    uint32(o.Limit),
				Instance: o.Instance,
				AgeMs:    mptime.Millis(o.Age),
			})
		}
	}
	return r
}

// DecodeRegister returns the contents of a RegisterRequest by group.
func DecodeRegister(r *mpwire.RegisterRequest) map[string]mppermit.Registration {
	registrations := map[string]mppermit.Registration{}
	for _, h := range r.GetHeld() {
		reg := registrations[h.GetGroup()]
		reg.Held = append(reg.Held, mppermit.HeldPermit{
			Attempt:   mppermit.Attempt(h.GetAttempt()),
			Upstream:  h.GetUpstream(),
			Remaining: mptime.FromMillis(h.GetLeftMs()),
			Exclusive: h.GetAlone(),
		})
		registrations[h.GetGroup()] = reg
	}
	for _, seen := range r.GetSeen() {
		reg := registrations[seen.GetGroup()]
		reg.Observations = append(reg.Observations, mppermit.Observation{
			Upstream: seen.GetUpstream(),
			Limit:    int(seen.GetLimit()),
			Instance: seen.GetInstance(),
			Age:      mptime.FromMillis(seen.GetAgeMs()),
		})
		registrations[seen.GetGroup()] = reg
	}
	return registrations
}
