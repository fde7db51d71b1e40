package memberprocess

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestStepsOfASuspendedProcessRunWhenItResumes(t *testing.T) {
	var p Process
	var ran []string
	step := func(name string) func() { return func() { ran = append(ran, name) } }
	p.Run(0, step("before the start"))
	p.StartIncarnation()
	p.Run(1, step("a"))
	p.Suspend()
	require.True(t, p.Up() && p.Suspended() && !p.Running())
	p.Run(1, step("b"))
	p.Run(1, func() { ran = append(ran, "c"); p.Suspend() })
	p.Run(1, step("d"))
	require.Equal(t, []string{"a"}, ran)
	p.Resume(0)
	require.True(t, p.Suspended(), "Resume of another incarnation has no effect")
	p.Resume(1)
	require.Equal(t, []string{"a", "b", "c"}, ran, "the third step suspends the process again")
	p.End()
	p.Resume(1)
	p.Run(1, step("after the end"))
	p.StartIncarnation()
	require.Equal(t, 2, p.Incarnation())
	require.True(t, p.IsIncarnation(2) && !p.IsIncarnation(1) && p.Running())
	p.Run(1, step("of the earlier incarnation"))
	p.Run(2, step("e"))
	require.Equal(t, []string{"a", "b", "c", "e"}, ran)
}
