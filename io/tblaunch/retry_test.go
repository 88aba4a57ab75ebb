package tblaunch

import (
	"context"
	"errors"
	"testing"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
)

// A change that met no leader was given up, though its answer says that sending it again is safe.
func TestChangeIsMadeAgainWhileNoLeaderAnswers(t *testing.T) {
	refused := connect.NewError(connect.CodeInvalidArgument, errors.New("refused"))
	for _, last := range []error{nil, refused} {
		tries := 0
		answer, err := UntilAvailable(context.Background(), func() (int, error) {
			if tries++; tries < 3 {
				return 0, connect.NewError(connect.CodeUnavailable, errors.New("no leader"))
			}
			return tries, last
		})
		qt.Check(t, answer, qt.Equals, 3)
		qt.Check(t, errors.Is(err, last), qt.IsTrue)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := UntilAvailable(ctx, func() (int, error) { return 0, connect.NewError(connect.CodeUnavailable, errors.New("no leader")) })
	qt.Check(t, err, qt.IsNotNil)
}
