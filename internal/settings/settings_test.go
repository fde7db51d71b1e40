package settings

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const validSettings = `Node = "edge-1"
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

func TestParseNamesTheInvalidKey(t *testing.T) {
	settings, err := Parse(validSettings)
	require.NoError(t, err, "unknown fields are ignored")
	require.Equal(t, "10.1.0.8:7440", settings.PeerAddress(settings.Ip))
	require.Equal(t, []string{"10.1.0.11"}, settings.SeedHosts())
	require.EqualValues(t, 1200, settings.BeatMs)
	_, err = Parse(validSettings + "[Limits]\n[Provider]\n[FaultBudget]\nMachines = 1\n[Zones]\n[Bounds.x]\n")
	require.NoError(t, err, "unknown tables are ignored")
	for key, text := range map[string]string{
		"Ip":           "Node = \"x\"\nIp = \"here\"\nZone = \"a\"\nPortRange = [1,2]\n",
		"Node":         "Ip = \"10.0.0.1\"\nZone = \"a\"\nPortRange = [1,2]\n",
		"PortRange":    "Node = \"x\"\nIp = \"10.0.0.1\"\nZone = \"a\"\nPortRange = [9,2]\n",
		"SeedPeers[0]": "Node = \"x\"\nIp = \"10.0.0.1\"\nZone = \"a\"\nPortRange = [1,2]\nSeedPeers = [\"nowhere\"]\n",
		"Node: line 1": "Node = \n",
		"Limits.Cores": validSettings + "[Limits]\nCores = -1\n",
	} {
		_, err := Parse(text)
		require.Error(t, err, key)
		require.True(t, strings.HasPrefix(err.Error(), key+": "), "%s does not begin with %s", err, key)
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
	f.Add(validSettings)
	f.Add("PortRange = [1]\n")
	f.Fuzz(func(_ *testing.T, text string) {
		if settings, err := Parse(text); err == nil {
			settings.SeedHosts()
			settings.PeerAddress(settings.Ip)
		}
	})
}

func TestWatchReportsAChangedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.toml")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(validSettings)
	t.Setenv(EnvVar, path)
	synctest.Test(t, func(t *testing.T) { // uses the fake clock of synctest
		changed := make(chan os.Signal, 1)
		go Watch(t.Context(), changed, syscall.SIGHUP)
		time.Sleep(10 * watchInterval)
		require.Empty(t, changed, "nothing changed")

		write(validSettings + "# more\n")
		time.Sleep(10 * watchInterval)
		require.Equal(t, syscall.SIGHUP, <-changed)
		require.Empty(t, changed, "one change is reported once")

		write(validSettings)
		time.Sleep(2 * watchInterval)
		write(validSettings + "# more\n")
		time.Sleep(2 * watchInterval) // Watch does not block, though the channel is full
		require.Len(t, changed, 1)
	})
}
