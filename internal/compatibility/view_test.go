package compatibility

import (
	"fmt"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"ferrypitch/internal/router/tier/follower"
	"ferrypitch/internal/router/tier/link"
	"ferrypitch/internal/router/tier/view"
	"ferrypitch/internal/snapshotfile"
	"ferrypitch/policy"
)

// versionObject renders the version of a host list as a JSON object.
func versionObject(version view.Version) object {
	return object{"generation": version.Generation, "revision": version.Revision}
}

// viewHostObject renders every field of a host in a view.
func viewHostObject(host view.Host) object {
	return object{
		"name": host.Name, "address": host.Address, "zone": host.Zone, "kind": host.Model, "set": host.Set, "size": host.Size,
		"leader": host.ListedPrimary, "standing": host.ListedState, "version": versionObject(host.Version), "boot": host.BootedAt, "position": host.Position,
		"role": host.Role, "role_at": host.RolePosition, "turn": host.RoleChanges, "late": host.Lateness,
	}
}

// viewObject renders every field of a stored view.
func viewObject(change view.Change) object {
	hosts := []object{}
	for _, host := range change.Hosts {
		hosts = append(hosts, viewHostObject(host))
	}
	return object{
		"life": change.Incarnation, "sequence": change.Sequence, "whole": change.Full, "floor": versionObject(change.Floor),
		"listed": versionObject(change.ListVersion), "routers": change.RouterCount, "every": change.ReportInterval, "hosts": hosts,
		"dropped": append([]string{}, change.Removed...), "digest": fmt.Sprintf("%016x", change.Digest),
	}
}

// A view stored by a forwarder is read completely, and a forwarder can start with it.
func TestForwarderViewIsReadCompletely(t *testing.T) {
	body, err := snapshotfile.Read(snapshotfile.Disk{}, filepath.Join("testdata", "forward.keep"))
	require.NoError(t, err)
	change, err := link.DecodeChange(body)
	require.NoError(t, err)
	requireExpected(t, "forward.json", indented(viewObject(change)))

	core := follower.New(1, follower.Config{InitialBackoff: 500, MaxBackoff: 50000, ReportInterval: 2000, PlannerTimeout: 20000}, []string{"planner"}, 1, 2_000_000)
	core.RestoreView(change)
	require.True(t, core.HasHosts())
	require.Equal(t, 3, core.View().Len())
	host, ok := core.View().Host("db-a")
	require.True(t, ok)
	require.Equal(t, object{
		"name": "db-a", "address": "10.1.0.1:5432", "zone": "zone-1", "kind": "large", "set": int64(4), "size": 2.5,
		"leader": true, "standing": policy.Active, "version": object{"generation": uint64(2), "revision": int64(41)}, "boot": int64(900_000),
		"position": int64(1_200_000), "role": policy.Primary, "role_at": int64(1_100_000), "turn": uint32(1), "late": uint8(0),
	},
		viewHostObject(host), "lateness becomes outdated and is not restored")
	host, _ = core.View().Host("db-b")
	require.Equal(t, policy.Draining, host.ListedState)
}
