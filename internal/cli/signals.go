package cli

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"dandelionspoke/internal/hangup"
)

// stopSignals handles SIGTERM and SIGINT: the first signal requests a drain, the second one an immediate exit.
type stopSignals struct {
	// drain is closed at the first signal.
	drain chan struct{}
	// ctx is canceled at the second signal and by release.
	ctx      context.Context
	cancel   context.CancelFunc
	received chan os.Signal
	wg       sync.WaitGroup
}

func catchSignals() *stopSignals {
	ctx, cancel := context.WithCancel(context.Background())
	s := &stopSignals{drain: make(chan struct{}), ctx: ctx, cancel: cancel, received: make(chan os.Signal, 2)}
	signal.Notify(s.received, syscall.SIGTERM, os.Interrupt)
	s.wg.Go(s.watch)
	return s
}

func (s *stopSignals) watch() {
	select {
	case <-s.received:
		close(s.drain)
	case <-s.ctx.Done():
		return
	}
	select {
	case <-s.received:
		s.cancel()
	case <-s.ctx.Done():
	}
}

// onHangup calls reload at each SIGHUP until the second stop signal or release, and for one received while the process
// started.
func (s *stopSignals) onHangup(reload func()) {
	hangups := hangup.Catch()
	s.wg.Go(func() {
		defer hangup.Release()
		for {
			select {
			case <-hangups:
				reload()
			case <-s.ctx.Done():
				return
			}
		}
	})
}

// release restores the default signal handling and waits for the goroutines of s.
func (s *stopSignals) release() {
	signal.Stop(s.received)
	s.cancel()
	s.wg.Wait()
}

// drainContext returns a context that is canceled at the first signal.
func (s *stopSignals) drainContext() context.Context {
	ctx, cancel := context.WithCancel(s.ctx)
	s.wg.Go(func() {
		defer cancel()
		select {
		case <-s.drain:
		case <-s.ctx.Done():
		}
	})
	return ctx
}
