package record

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"ferrypitch/policy"
)

// Deployment encodes a deployment for a file's header, from which a replay
// starts. The form has the names of policy.Deployment's fields.
func Deployment(deployment policy.Deployment) ([]byte, error) { return cbor.Marshal(deployment) }

// ReadDeployment decodes the deployment of a header.
func ReadDeployment(encoded []byte) (policy.Deployment, error) {
	var deployment policy.Deployment
	if err := cbor.Unmarshal(encoded, &deployment); err != nil {
		return deployment, fmt.Errorf("the deployment: %w", err)
	}
	for i, group := range deployment.Groups {
		if group == nil {
			return deployment, fmt.Errorf("the deployment: group %d is missing", i)
		}
	}
	return deployment, nil
}

// Groups encodes the names of command groups, by number, for a file's header.
func Groups(names []string) ([]byte, error) { return cbor.Marshal(names) }
