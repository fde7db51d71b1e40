package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// What may have run is made again at once only where it changes nothing; what was further written is never freer.
func TestNothingThatMayHaveRunIsMadeAgainUnlessItChangesNothing(t *testing.T) {
	for c := range Calls {
		harmless := c == Read || c == Begin || c == Stat
		require.Equal(t, harmless, Repeats(c), "call %d", c)
		require.Equal(t, harmless, After(c, Said) == Again, "call %d", c)
		if After(c, Torn) == Again {
			require.Equal(t, Again, After(c, Unsaid), "call %d", c)
		}
		for m := range Moments {
			require.NotEmpty(t, After(c, m).String())
		}
	}
	require.Equal(t, Doubt, After(Write, Said))
	require.Equal(t, Doubt, After(Commit, Said))
}

func TestAWriteIsTornUnlessAllOrNothingWentOut(t *testing.T) {
	require.Equal(t, []Moment{Unsaid, Torn, Torn, Said}, []Moment{Wrote(0, 9), Wrote(1, 9), Wrote(8, 9), Wrote(9, 9)})
}
