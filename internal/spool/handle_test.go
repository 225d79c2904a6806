package spool

import (
	"strings"
	"testing"
)

func TestHandleText(t *testing.T) {
	h := Handle{ID: ID{1, 2, 0xff}, Key: [16]byte{9, 0xab}}
	text := h.String()
	if len(text) != HandleSize || !strings.HasPrefix(text, "0102ff") {
		t.Errorf("got %q", text)
	}
	if parsed, err := ParseHandle([]byte(text)); err != nil || parsed != h {
		t.Errorf("%+v, %v", parsed, err)
	}
	for _, invalid := range []string{"", text[1:], text + "0", strings.ToUpper(text), strings.Repeat("g", HandleSize), text[:63] + " "} {
		if _, err := ParseHandle([]byte(invalid)); err == nil {
			t.Errorf("%q was accepted", invalid)
		}
	}
	other := h
	other.Key[15] ^= 1
	if h.Secret() == other.Secret() || h.Secret() == (Secret{}) {
		t.Error("the secret does not depend on the key")
	}
}

func FuzzHandle(f *testing.F) {
	f.Add([]byte(Handle{ID: ID{1}, Key: [16]byte{2}}.String()))
	f.Add([]byte("0123"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if h, err := ParseHandle(text); err == nil && h.String() != string(text) {
			t.Errorf("parsing %q gave the handle %q", text, h)
		}
	})
}
