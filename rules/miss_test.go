package rules

import "testing"

func TestAHostThatRefusesAWriteIsNoPrimaryWhateverItSays(t *testing.T) {
	f := start(t, 3, nil)
	c := f.take(Write, Mutating, "s", 0)
	for range 3 {
		n := c.Node
		f.wait(100)
		c.Ended(Missed, -1, Primary, 100, false)
		f.wait(300)
		if c.Node == n {
			t.Fatalf("asked again: %s", n.Name)
		}
		if c.Node == nil {
			break
		}
	}
}
