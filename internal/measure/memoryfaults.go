package measure

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"foxlane/internal/standin"
)

// This file has the faults of the memory scenes. Each lasts until the context ends.

// freezeRepeatedly suspends the gateway three times for 1 s, while its sockets fill up.
func freezeRepeatedly(ctx context.Context, t *Testbed) {
	for range 3 {
		if !sleepContext(ctx, 700*time.Millisecond) {
			return
		}
		t.freeze(ctx, time.Second)
	}
}

// freezeLong suspends the gateway once for 5 s, while its sockets fill up.
func freezeLong(ctx context.Context, t *Testbed) {
	if sleepContext(ctx, time.Second) {
		t.freeze(ctx, 5*time.Second)
	}
}

// freeze suspends the gateway.
func (t *Testbed) freeze(ctx context.Context, d time.Duration) {
	_ = t.gateway.Process.Signal(syscall.SIGSTOP)
	sleepContext(ctx, d)
	_ = t.gateway.Process.Signal(syscall.SIGCONT)
}

// restartIntoCrowd kills the gateway and starts it again, while clients connect all the time. If the start fails, the
// gateway's memory can't be read at the end of the scene.
func restartIntoCrowd(ctx context.Context, t *Testbed) {
	if sleepContext(ctx, time.Second) {
		_ = t.KillAndRestart()
	}
}

// starveAfterRestart kills the gateway and starts it again into the crowd, loses the engines for a while, and from then on
// suspends the gateway for three quarters of the time.
func starveAfterRestart(ctx context.Context, t *Testbed) {
	restartIntoCrowd(ctx, t)
	loseEngines(ctx, t)
	for sleepContext(ctx, 20*time.Millisecond) {
		t.freeze(ctx, 60*time.Millisecond)
	}
}

// loseEngines stops all engines at one moment and starts them again at one moment.
func loseEngines(ctx context.Context, t *Testbed) {
	if !sleepContext(ctx, 700*time.Millisecond) {
		return
	}
	t.stopEngines()
	if !sleepContext(ctx, 700*time.Millisecond) {
		return
	}
	for _, host := range t.hosts {
		if e, err := t.startEngine(host.Addr.String()); err == nil {
			t.engines = append(t.engines, e)
		}
	}
}

// silenceEngines replaces all engines by ones that accept connections and never read.
func silenceEngines(ctx context.Context, t *Testbed) {
	t.replaceEngines(ctx, func(context.Context, net.Conn) {})
}

// dribbleEngines replaces all engines by ones that send nearly all of an answer, then one byte at a time.
func dribbleEngines(ctx context.Context, t *Testbed) {
	t.replaceEngines(ctx, func(ctx context.Context, conn net.Conn) {
		line, err := bufio.NewReader(conn).ReadString('\n')
		words := strings.Fields(line)
		if err != nil || len(words) < 2 {
			return
		}
		const bodyBytes = 8000
		_, err = fmt.Fprintf(conn, "%s served total=2,elapsed=1,rss=1 %d\r\n%s", words[1], bodyBytes, strings.Repeat("x", bodyBytes-1000))
		for err == nil && sleepContext(ctx, 50*time.Millisecond) {
			_, err = io.WriteString(conn, "x")
		}
	})
}

// replaceEngines ends all engines and serves connections to their addresses until the context ends.
func (t *Testbed) replaceEngines(ctx context.Context, serve func(context.Context, net.Conn)) {
	t.stopEngines()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, host := range t.hosts {
		listener, err := net.Listen("tcp", host.Addr.String())
		if err != nil {
			continue
		}
		context.AfterFunc(ctx, func() { _ = listener.Close() }) // ends Accept
		wg.Go(func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				wg.Go(func() {
					context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends a blocked read or write
					serve(ctx, conn)
				})
			}
		})
	}
}

// floodFromNameServer makes the name server send many datagrams of no use with each answer.
func floodFromNameServer(_ context.Context, t *Testbed) {
	t.nameServer.OnReply(func(reply *standin.ListReply) { reply.Junk = 2000 })
}
