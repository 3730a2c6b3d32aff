// Package mpsignal turns the signals that end a process into contexts.
package mpsignal

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// ShutdownContexts returns a context that ends with the process's work, and one within it
// that ends when the process is told to leave: at the first SIGTERM or SIGINT.
// The second signal, or stop, ends both.
func ShutdownContexts() (ctx, leave context.Context, stop context.CancelFunc) {
	ctx, stop = context.WithCancel(context.Background())
	leave, startLeaving := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		startLeaving()
		<-signals
		stop()
	}()
	return ctx, leave, stop
}
