package settings

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

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

func TestParseNamesTheInvalidKey(t *testing.T) {
	settings, err := Parse(good)
	require.NoError(t, err, "unknown fields are ignored")
	require.Equal(t, "10.1.0.8:7440", settings.PeerAddress(settings.Ip))
	require.Equal(t, []string{"10.1.0.11"}, settings.SeedHosts())
	require.EqualValues(t, 1200, settings.BeatMs)
	_, err = Parse(good + "[Limits]\n[Provider]\n[FaultBudget]\nMachines = 1\n[Zones]\n[Bounds.x]\n")
	require.NoError(t, err, "an unknown table")
	for key, text := range map[string]string{
		"Ip":           "Node = \"x\"\nIp = \"here\"\nZone = \"a\"\nPortRange = [1,2]\n",
		"Node":         "Ip = \"10.0.0.1\"\nZone = \"a\"\nPortRange = [1,2]\n",
		"PortRange":    "Node = \"x\"\nIp = \"10.0.0.1\"\nZone = \"a\"\nPortRange = [9,2]\n",
		"SeedPeers[0]": "Node = \"x\"\nIp = \"10.0.0.1\"\nZone = \"a\"\nPortRange = [1,2]\nSeedPeers = [\"nowhere\"]\n",
		"Node: line 1": "Node = \n",
		"Limits.Cores": good + "[Limits]\nCores = -1\n",
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
	f.Add(good)
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
	require.NoError(t, os.WriteFile(path, []byte(good), 0o600))
	t.Setenv(EnvVar, path)
	ctx, cancel := context.WithCancel(t.Context())
	changed, ended := make(chan os.Signal, 1), make(chan struct{})
	go func() {
		defer close(ended)
		Watch(ctx, changed, syscall.SIGHUP)
	}()
	// Written until it is reported: Watch may not have read the first version yet.
	for reported := false; !reported; {
		file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
		require.NoError(t, err)
		_, err = file.WriteString("# more\n")
		require.NoError(t, err)
		require.NoError(t, file.Close())
		select {
		case got := <-changed:
			require.Equal(t, syscall.SIGHUP, got)
			reported = true
		case <-time.After(100 * time.Millisecond):
		}
	}
	cancel()
	<-ended
}
