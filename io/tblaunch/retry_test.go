package tblaunch

import (
	"context"
	"errors"
	"testing"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
)

// A change that found no leader must be retried. Its error has the code Unavailable, which means that
// retrying is safe.
func TestRetryWhileUnavailableRetriesOnlyUnavailableErrors(t *testing.T) {
	refusedErr := connect.NewError(connect.CodeInvalidArgument, errors.New("refused"))
	for _, lastErr := range []error{nil, refusedErr} {
		attempts := 0
		result, err := RetryWhileUnavailable(context.Background(), func() (int, error) {
			if attempts++; attempts < 3 {
				return 0, connect.NewError(connect.CodeUnavailable, errors.New("no leader"))
			}
			return attempts, lastErr
		})
		qt.Check(t, result, qt.Equals, 3)
		qt.Check(t, errors.Is(err, lastErr), qt.IsTrue)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := RetryWhileUnavailable(ctx, func() (int, error) { return 0, connect.NewError(connect.CodeUnavailable, errors.New("no leader")) })
	qt.Check(t, err, qt.IsNotNil)
}
