package record

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"ferrypitch/policy"
)

// EncodeDeployment encodes a deployment for a file's header, where a replay reads it. Fields
// are stored under the names in policy.Deployment's tags, or under their Go names.
func EncodeDeployment(deployment policy.Deployment) ([]byte, error) { return cbor.Marshal(deployment) }

// DecodeDeployment decodes a deployment from a file's header.
func DecodeDeployment(encoded []byte) (policy.Deployment, error) {
	var deployment policy.Deployment
	if err := cbor.Unmarshal(encoded, &deployment); err != nil {
		return deployment, fmt.Errorf("decoding the deployment: %w", err)
	}
	for i, group := range deployment.Groups {
		if group == nil {
			return deployment, fmt.Errorf("decoding the deployment: command group %d is missing", i)
		}
	}
	return deployment, nil
}

// EncodeGroups encodes the names of command groups, indexed by number, for a file's header.
func EncodeGroups(names []string) ([]byte, error) { return cbor.Marshal(names) }
