package statemachine

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func configBody(generation int, host string) []byte {
	return fmt.Appendf(nil, `{"Generation":%d,"Routes":[{"Name":"r","Host":%q,"Kind":"leader","DeadlineMs":9,"Service":"s"}],"Services":[{"Name":"s"}]}`, generation, host)
}

func TestOfTwoChangesOnOneVersionOneWinsAndALostAnswerIsFoundAgain(t *testing.T) {
	s := &State{}
	first := Configure{Base: 0, Body: configBody(3, "a")}
	require.NoError(t, s.Apply(1, Change{Configure: &first}))
	one, other := Configure{Base: 3, Body: configBody(5, "b")}, Configure{Base: 3, Body: configBody(6, "c")}
	require.NoError(t, s.Apply(2, Change{Configure: &one}))
	require.ErrorIs(t, s.Apply(3, Change{Configure: &other}), ErrOther)
	require.EqualValues(t, 5, s.Gen)
	plan, err := s.Check(&first) // sent again after an answer was lost, and after others
	require.NoError(t, err)
	require.Nil(t, plan)
	_, err = s.Check(&Configure{Base: 5, Body: configBody(5, "d")})
	require.ErrorIs(t, err, ErrInvalid)
	_, err = s.Check(&Configure{Base: 5, Body: []byte("{")})
	require.ErrorIs(t, err, ErrInvalid)
	_, err = (&State{}).Check(&Configure{Amend: true, Body: []byte(`{"Generation":1}`)})
	require.ErrorIs(t, err, ErrInvalid)
}

func TestAFenceRisesWithEachHolderAndALeadIsNotedOnce(t *testing.T) {
	s := &State{}
	require.NoError(t, s.Apply(1, Change{Lead: &NewLead{Service: "db", Host: "h0", Term: 1}}))
	require.NoError(t, s.Apply(2, Change{Recall: &Recall{"db", "a"}}))
	require.NoError(t, s.Apply(3, Change{Recall: &Recall{"db", "a"}}))
	require.EqualValues(t, 2, s.Leads["db"].Fence)
	require.EqualValues(t, 2, s.Leads["db"].At, "what was taken back once is handed back once")
	require.NoError(t, s.Apply(4, Change{Recall: &Recall{"db", "b"}}))
	require.EqualValues(t, 4, s.Leads["db"].Fence)
	require.NoError(t, s.Apply(5, Change{Named: &Named{"db", "h1", "b"}}))
	require.NoError(t, s.Apply(6, Change{Lead: &NewLead{Service: "db", Host: "h1", Term: 2}}))
	require.Equal(t, Lead{Host: "h1", Term: 2, Fence: 4, Holder: "b", At: 6, Paused: true}, s.Leads["db"])
	require.NoError(t, s.Apply(7, Change{Resumed: "db"}))
	require.False(t, s.Leads["db"].Paused)
	require.NoError(t, s.Apply(8, Change{Named: &Named{"db", "h2", "b"}}))
	require.NoError(t, s.Apply(9, Change{Resumed: "db"}), "one that comes late changes nothing")
	require.True(t, s.Leads["db"].Paused)
	require.True(t, errors.Is(s.Apply(10, Change{Drain: "nobody"}), ErrUnknown))
}

// What a replica that left may alone have had is owed until its log is elsewhere.
func TestAReplicaThatLeavesIsOwedUntilItsLogIsElsewhere(t *testing.T) {
	s := &State{}
	enter := func(i uint64, id, address string) {
		require.NoError(t, s.Apply(i, Change{Enter: &Host{ID: id, Service: "db", Address: address}}))
	}
	for i, id := range []string{"h0", "h1", "h2", "h3"} {
		enter(uint64(i)+1, id, "1.1.1.1:"+id[1:])
	}
	require.NoError(t, s.Apply(5, Change{Lead: &NewLead{Service: "db", Host: "h0", Term: 1}}))
	for i, id := range []string{"h1", "h2", "h0"} {
		require.NoError(t, s.Apply(6+uint64(i), Change{Leave: id}))
	}
	require.Equal(t, []string{"h1", "h2"}, s.OwedOf("db"), "a primary acknowledges what another has received")
	enter(9, "h4", "1.1.1.1:1")
	require.Equal(t, []string{"h2"}, s.OwedOf("db"), "a new host takes the log that is at its address")
	again, err := Restore(s.Snapshot())
	require.NoError(t, err)
	require.Equal(t, s.OwedOf("db"), again.OwedOf("db"))
	require.NoError(t, s.Apply(10, Change{Missing: "h2"}))
	require.Empty(t, s.OwedOf("db"), "others have reached it")
	enter(11, "h5", "1.1.1.1:3")
	require.NotContains(t, s.Hosts, "h3", "one whose address is used again has ended, whether it could say so or not")
	require.Error(t, s.Apply(12, Change{Enter: &Host{ID: "h3", Service: "db", Address: "1.1.1.1:3"}}), "a beat that came late")
	require.Contains(t, s.Hosts, "h5")
}

// Members that apply the same changes hold the same, wherever each took a snapshot.
func TestSnapshotsStandForAllBefore(t *testing.T) {
	for seed := range 200 {
		chance := rand.New(rand.NewPCG(uint64(seed), 1))
		a, b := &State{}, &State{}
		for i := 1; i < 60; i++ {
			var c Change
			id := fmt.Sprintf("h%d", chance.IntN(5))
			switch chance.IntN(8) {
			case 0:
				c.Configure = &Configure{Base: a.Gen, Body: configBody(int(a.Gen)+1+chance.IntN(3), id)}
			case 1, 2:
				c.Enter = &Host{ID: id, Service: "s", Address: "1.1.1.1:" + id[1:], Draining: chance.IntN(3) == 0}
			case 3:
				c.Leave = id
			case 4:
				c.Recall = &Recall{"s", id}
			case 5:
				c.Lead = &NewLead{Service: "s", Host: id, Term: uint64(i)}
			case 6:
				c.Router = &Router{Node: id, Gone: chance.IntN(3) == 0}
			case 7:
				c.Named = &Named{"s", id, "m"}
			}
			decoded, err := Decode(Encode(c))
			require.NoError(t, err)
			wantErr, gotErr := a.Apply(uint64(i), c), b.Apply(uint64(i), decoded)
			require.Equal(t, wantErr == nil, gotErr == nil)
			require.NoError(t, b.Apply(uint64(i), Change{Leave: "h0"}), "what was applied is passed over")
			if chance.IntN(5) == 0 {
				b, err = Restore(b.Snapshot())
				require.NoError(t, err)
			}
			require.Equal(t, a.Sum(), b.Sum(), "seed %d, change %d", seed, i)
			require.Equal(t, a.Plan(), b.Plan())
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(Change{Leave: "x"}))
	f.Add((&State{Gen: 3}).Snapshot())
	f.Fuzz(func(t *testing.T, b []byte) {
		if c, err := Decode(b); err == nil {
			(&State{}).Apply(1, c)
		}
		Restore(b)
	})
}
