package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const good = `Node = "edge-1"
Ip = "10.1.0.8"
Zone = "a"
PortRange = [7440,7455]
SeedPeers = ["10.1.0.11:8782"]
Future = { x = 1 }
[Listen]
Front = "10.1.0.8:8784"
[Bounds]
GraceS = 6
SeedLagS = 0.5
Fencing = false
Unknown = "yes"
`

func TestSettingsAreCheckedAndNamedByKey(t *testing.T) {
	p, err := Parse(good)
	require.NoError(t, err, "fields that are not known are passed over")
	require.Equal(t, "10.1.0.8:7440", p.PeerAddress(p.Ip))
	require.Equal(t, []string{"10.1.0.11"}, p.SeedHosts())
	for key, text := range map[string]string{
		"Ip":            "Node = \"x\"\nIp = \"here\"\nZone = \"a\"\nPortRange = [1,2]\n",
		"Node":          "Ip = \"10.0.0.1\"\nZone = \"a\"\nPortRange = [1,2]\n",
		"PortRange":     "Node = \"x\"\nIp = \"10.0.0.1\"\nZone = \"a\"\nPortRange = [9,2]\n",
		"SeedPeers":     "Node = \"x\"\nIp = \"10.0.0.1\"\nZone = \"a\"\nPortRange = [1,2]\nSeedPeers = [\"nowhere\"]\n",
		"Bounds.GraceS": good + "[Limits]\n[Provider]\n[FaultBudget]\nMachines = 1\n[Zones]\n[Bounds.x]\n",
		"line 1":        "Node = \n",
	} {
		_, err := Parse(text)
		if key == "Bounds.GraceS" {
			require.NoError(t, err, "a table that is not known")
			continue
		}
		require.ErrorContains(t, err, key)
	}
	path := filepath.Join(t.TempDir(), "local.toml")
	require.NoError(t, os.WriteFile(path, []byte("Node = 3\n"), 0o600))
	_, err = ReadFile(path)
	require.ErrorContains(t, err, "local.toml")
	require.ErrorContains(t, err, "Node")
	_, err = ReadFile(path + ".not")
	require.Error(t, err)
}

func FuzzParse(f *testing.F) {
	f.Add(good)
	f.Add("PortRange = [1]\n")
	f.Fuzz(func(t *testing.T, text string) {
		if p, err := Parse(text); err == nil {
			p.SeedHosts()
			p.PeerAddress(p.Ip)
		}
	})
}
