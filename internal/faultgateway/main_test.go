package faultgateway

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails the package's tests if a goroutine is leaked.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
