// Package mpsignal provides contexts that termination signals cancel.
package mpsignal

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// ShutdownContexts returns a context for the work of the process, and a child of it,
// leave, whose end starts the graceful shutdown. The first SIGTERM or SIGINT cancels
// leave; the second one, or a call to stop, cancels both.
func ShutdownContexts() (ctx, leave context.Context, stop context.CancelFunc) {
	ctx, stop = context.WithCancel(context.Background())
	leave, cancelLeave := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancelLeave()
		<-signals
		stop()
	}()
	return ctx, leave, stop
}
