package main

import (
	"bytes"
	"strings"
	"testing"
)

func run(args ...string) (string, error) {
	var out bytes.Buffer
	cmd := root()
	cmd.SetOut(&out)
	cmd.SetArgs(args)
	err := cmd.Execute()
	return out.String(), err
}

// The example's configuration is one that serves, and check says what it holds.
func TestCheck(t *testing.T) {
	out, err := run("check", "../../example/config.json")
	if err != nil || !strings.Contains(out, "n0 listens on 127.0.0.1:7001") || !strings.Contains(out, "3 classes, 2 engines") {
		t.Errorf("got %q, %v", out, err)
	}
	if _, err := run("check", "../../go.mod"); err == nil {
		t.Error("a file that is no configuration passed")
	}
	if _, err := run("check"); err == nil {
		t.Error("check without a file passed")
	}
}

func TestVersion(t *testing.T) {
	if out, err := run("version"); err != nil || !strings.HasPrefix(out, "foxlane dev go") {
		t.Errorf("got %q, %v", out, err)
	}
}

// Without a configuration, serve ends at once with one line that names it.
func TestServeNeedsConfiguration(t *testing.T) {
	t.Setenv("LB_CONFIG", "")
	if _, err := run("serve"); err == nil || !strings.Contains(err.Error(), "LB_CONFIG") {
		t.Errorf("got %v", err)
	}
}
