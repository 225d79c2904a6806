package transport

import (
	"errors"
	"sync"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"foxlane/internal/gateway"
)

// This file notifies the reducer of connections whose kernel buffer has room again. The poller's library waits for that only
// while it holds bytes itself.

// writableWatcher waits for connections on which few bytes are unsent, and enqueues a WriteDrained for each. Its epoll instance
// is beside that of the poller, with one event for each call of watch.
type writableWatcher struct {
	epoll   int
	wake    int // an eventfd that ends the goroutine
	queue   *eventQueue
	ended   sync.WaitGroup
	log     *zap.Logger
	endOnce sync.Once
}

const (
	watcherBatch = 128 // events taken at a time
	wakeID       = 0   // stands for the eventfd in place of a connection, whose IDs begin with 1
)

// startWritableWatcher starts a watcher.
func startWritableWatcher(queue *eventQueue, log *zap.Logger) (*writableWatcher, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, err
	}
	wake, err := unix.Eventfd(0, unix.EFD_CLOEXEC)
	if err != nil {
		_ = unix.Close(epoll) // holds nothing
		return nil, err
	}
	w := &writableWatcher{epoll: epoll, wake: wake, queue: queue, log: log}
	event := watchEvent(wakeID)
	event.Events = unix.EPOLLIN
	if err := unix.EpollCtl(epoll, unix.EPOLL_CTL_ADD, wake, &event); err != nil {
		w.closeDescriptors()
		return nil, err
	}
	w.ended.Go(w.run)
	return w, nil
}

// watchEvent returns the epoll event of a connection, which carries its ID.
func watchEvent(id gateway.ConnID) unix.EpollEvent {
	return unix.EpollEvent{Events: unix.EPOLLOUT | unix.EPOLLONESHOT, Fd: int32(uint32(id)), Pad: int32(uint32(id >> 32))}
}

// watchedID returns the ID that an event carries.
func watchedID(event *unix.EpollEvent) gateway.ConnID {
	return gateway.ConnID(uint32(event.Pad))<<32 | gateway.ConnID(uint32(event.Fd))
}

// watch requests a WriteDrained once the connection may be written to, or has ended. It reports whether one will come. A
// descriptor that belongs to another connection by now leads to a WriteDrained that is early, or for a connection that has
// ended; the reducer ignores both.
func (w *writableWatcher) watch(c *conn) bool {
	event := watchEvent(c.id)
	err := unix.EpollCtl(w.epoll, unix.EPOLL_CTL_MOD, c.nb.Hash(), &event)
	if errors.Is(err, unix.ENOENT) {
		err = unix.EpollCtl(w.epoll, unix.EPOLL_CTL_ADD, c.nb.Hash(), &event)
	}
	return err == nil
}

func (w *writableWatcher) run() {
	events := make([]unix.EpollEvent, watcherBatch)
	for {
		n, err := unix.EpollWait(w.epoll, events, -1)
		if err != nil && !errors.Is(err, unix.EINTR) {
			w.log.Error("connections are not watched any more", zap.Error(err)) // the descriptor is invalid: a defect
			return
		}
		for i := range max(n, 0) {
			id := watchedID(&events[i])
			if id == wakeID {
				return
			}
			w.queue.enqueue(gateway.WriteDrained{Conn: id})
		}
	}
}

// close ends the goroutine and waits for it.
func (w *writableWatcher) close() {
	w.endOnce.Do(func() {
		one := [8]byte{1} // any number but 0, in either byte order
		if _, err := unix.Write(w.wake, one[:]); err != nil {
			w.log.Error("watcher not ended", zap.Error(err))
			return
		}
		w.ended.Wait()
		w.closeDescriptors()
	})
}

func (w *writableWatcher) closeDescriptors() {
	_ = unix.Close(w.wake)  // nothing was written that could be lost
	_ = unix.Close(w.epoll) // as above
}
