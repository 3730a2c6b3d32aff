package mplead

import (
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"mustardpost.org/core/connection/mpwire"
)

const (
	// largeReplyBytes is the size from which a reply to a renewal may take as long as the VM waits.
	largeReplyBytes  = 128 << 10
	largeLogInterval = time.Second
)

// largeReplies counts large replies between two log lines.
type largeReplies struct {
	count, bytes int
	loggedAt     time.Time
}

// watchSize counts a reply to a renewal, and logs a large one with what the VM lacked. There is one
// line in largeLogInterval, for all VMs.
func (l *Leader) watchSize(now time.Time, r *mpwire.RenewRequest, reply *mpwire.RenewReply) {
	size := proto.Size(reply)
	l.cfg.Metrics.Add("lead.replies", 1)
	l.cfg.Metrics.Add("lead.bytes", int64(size))
	if size < largeReplyBytes {
		return
	}
	l.cfg.Metrics.Add("lead.large", 1)
	l.mu.Lock()
	large := &l.largeReplies
	large.count++
	large.bytes += size
	isDue := now.Sub(large.loggedAt) >= largeLogInterval
	replies, bytes := large.count, large.bytes
	if isDue {
		*large = largeReplies{loggedAt: now}
	}
	l.mu.Unlock()
	if isDue {
		_ = level.Warn(l.cfg.Logger).Log("msg", "large renewals", "replies", replies, "bytes", bytes, "vm", r.GetVm(), "size", size,
			"has", r.GetRevision(), "revision", reply.GetRevision(), "changes", len(reply.GetChanges()), "whole", len(reply.GetView())+len(reply.GetPackedView()))
	}
}
