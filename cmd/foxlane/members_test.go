package main

import (
	"slices"
	"strings"
	"testing"
	"time"

	"foxlane/internal/gateway"
	"foxlane/internal/replica"
)

// Replicas are compared entry by entry: each version that differs from the newest one is described.
func TestCompareReplicas(t *testing.T) {
	entry := func(incarnation, counter uint64, value float32) gateway.ReplicaEntry {
		return gateway.ReplicaEntry{Origin: "g1", Kind: "load", Subject: 7, Incarnation: incarnation, Counter: counter, Value: replica.Value{value},
			AgeMS: 10_000, ExpiresInMS: 10_000}
	}
	fresh, expiring := entry(1, 1, 0), entry(1, 1, 0)
	fresh.AgeMS, expiring.ExpiresInMS = 2999, 2999
	for _, c := range []struct {
		name string
		a, b []gateway.ReplicaEntry
		want string // empty: no difference
	}{
		{"equal", []gateway.ReplicaEntry{entry(1, 1, 0)}, []gateway.ReplicaEntry{entry(1, 1, 0)}, ""},
		{"lacking", []gateway.ReplicaEntry{entry(1, 4, 0)}, nil, "g1 load 7: b lacks what a has (counter 4)"},
		{"lacking but fresh", []gateway.ReplicaEntry{fresh}, nil, ""},
		{"lacking but about to expire", nil, []gateway.ReplicaEntry{expiring}, ""},
		{"earlier incarnation", []gateway.ReplicaEntry{entry(1, 9, 0)}, []gateway.ReplicaEntry{entry(2, 1, 0)}, "a has incarnation 1, b the later 2"},
		{"lower counter", []gateway.ReplicaEntry{entry(1, 3, 0)}, []gateway.ReplicaEntry{entry(1, 2, 0)}, "b has counter 2, a the higher 3"},
		{"other value", []gateway.ReplicaEntry{entry(1, 3, 1)}, []gateway.ReplicaEntry{entry(1, 3, 2)}, "b and a have counter 3 with different values"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := compareReplicas([]string{"a", "b"}, [][]gateway.ReplicaEntry{c.a, c.b}, 3*time.Second)
			if c.want == "" && len(got) > 0 || c.want != "" && (len(got) != 1 || !strings.Contains(got[0], c.want)) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Differences are sorted by origin, kind and subject.
func TestCompareReplicasSorts(t *testing.T) {
	var held []gateway.ReplicaEntry
	for _, origin := range []string{"g2", "g1"} {
		for _, subject := range []uint64{12, 3} {
			held = append(held, gateway.ReplicaEntry{Origin: origin, Kind: "load", Subject: subject, AgeMS: 10_000, ExpiresInMS: 10_000})
		}
	}
	got := compareReplicas([]string{"a", "b"}, [][]gateway.ReplicaEntry{held, nil}, time.Second)
	want := []string{"g1 load 3:", "g1 load 12:", "g2 load 3:", "g2 load 12:"}
	if len(got) != len(want) || slices.ContainsFunc(want, func(prefix string) bool { return !strings.HasPrefix(got[slices.Index(want, prefix)], prefix) }) {
		t.Errorf("got %q, want lines with %q", got, want)
	}
}
