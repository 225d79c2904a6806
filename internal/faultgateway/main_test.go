package faultgateway

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails the package's tests where one leaves a goroutine behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
