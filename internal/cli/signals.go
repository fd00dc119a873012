package cli

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// stopSignals turn the first SIGTERM or SIGINT into a drain and the second one into an exit at once.
type stopSignals struct {
	// drain is closed at the first signal.
	drain chan struct{}
	// now ends at the second signal.
	now    context.Context
	cancel context.CancelFunc
	in     chan os.Signal
	done   sync.WaitGroup
}

func catchSignals() *stopSignals {
	ctx, cancel := context.WithCancel(context.Background())
	s := &stopSignals{drain: make(chan struct{}), now: ctx, cancel: cancel, in: make(chan os.Signal, 2)}
	signal.Notify(s.in, syscall.SIGTERM, os.Interrupt)
	s.done.Go(s.watch)
	return s
}

func (s *stopSignals) watch() {
	select {
	case <-s.in:
		close(s.drain)
	case <-s.now.Done():
		return
	}
	select {
	case <-s.in:
		s.cancel()
	case <-s.now.Done():
	}
}

// onHangup calls reload at each SIGHUP until release. Without it the signal would end the process.
func (s *stopSignals) onHangup(reload func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	s.done.Go(func() {
		defer signal.Stop(hangups)
		for {
			select {
			case <-hangups:
				reload()
			case <-s.now.Done():
				return
			}
		}
	})
}

// release restores the default effect of the signals.
func (s *stopSignals) release() {
	signal.Stop(s.in)
	s.cancel()
	s.done.Wait()
}

// untilFirst returns a context that ends at the first signal.
func (s *stopSignals) untilFirst() context.Context {
	ctx, cancel := context.WithCancel(s.now)
	s.done.Go(func() {
		defer cancel()
		select {
		case <-s.drain:
		case <-s.now.Done():
		}
	})
	return ctx
}
