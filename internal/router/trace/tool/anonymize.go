package tool

import (
	"encoding/hex"

	"github.com/zeebo/blake3"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/record"
)

const (
	// pseudonymBytes is the length of a pseudonym, which is written in hexadecimal digits.
	pseudonymBytes = 10
	// keyIDBytes is how much of the hash of the key a header has.
	keyIDBytes = 4
	// keyIDContext keeps the hash in headers apart from other uses of the key.
	keyIDContext = "ferrypitch trace key "
	// maxCachedPseudonyms bounds the pseudonyms of hosts and routers that are kept.
	maxCachedPseudonyms = 1 << 16
)

// Anonymizer replaces the texts of a trace, by the Privacy of their columns. A text
// has the same pseudonym under the same key, whichever file or router it is of.
type Anonymizer struct {
	key         [32]byte
	textPrivacy [][]format.Privacy // by kind, in the order of Event.Texts
	pseudonyms  map[string]string  // of hosts, routers and addresses
}

// NewAnonymizer returns an Anonymizer with a key.
func NewAnonymizer(key [32]byte) *Anonymizer {
	return &Anonymizer{key: key, pseudonyms: map[string]string{}}
}

// Header returns the header of the anonymised trace. It must be called before the
// first Event of each trace. What this program does not know of is removed.
func (a *Anonymizer) Header(header format.Header) (format.Header, error) {
	a.textPrivacy = nil
	for _, kind := range header.Schema {
		a.textPrivacy = append(a.textPrivacy, textPrivacy(kind))
	}
	header.Router = a.pseudonym(format.Topology, header.Router)
	more := map[string][]byte{}
	if groups, ok := header.Extra[groupsKey]; ok { // names of command groups are of the deployment, not of people
		more[groupsKey] = groups
	}
	if encoded, ok := header.Extra[deploymentKey]; ok {
		anonymous, err := a.deployment(encoded)
		if err != nil {
			return header, err
		}
		more[deploymentKey] = anonymous
	}
	header.Extra = more
	sum := blake3.Sum256(append([]byte(keyIDContext), a.key[:]...))
	header.KeyID = sum[:keyIDBytes]
	return header, nil
}

func textPrivacy(kind format.Kind) []format.Privacy {
	var privacy []format.Privacy
	for _, column := range kind.Columns {
		if column.Type == format.Text {
			privacy = append(privacy, column.Privacy)
		}
	}
	return privacy
}

// deployment replaces the zone in an encoded deployment.
func (a *Anonymizer) deployment(encoded []byte) ([]byte, error) {
	deployment, err := record.DecodeDeployment(encoded)
	if err != nil {
		return nil, err
	}
	deployment.Zone = a.pseudonym(format.Topology, deployment.Zone)
	return record.EncodeDeployment(deployment)
}

// Event returns the anonymised event.
func (a *Anonymizer) Event(event format.Event) format.Event {
	if len(event.Texts) == 0 {
		return event
	}
	texts := make([]string, len(event.Texts))
	for i, text := range event.Texts {
		texts[i] = a.pseudonym(a.textPrivacy[event.Kind][i], text)
	}
	event.Texts = texts
	return event
}

// pseudonym returns what replaces a text: the start of its keyed hash, the text
// itself if it is plain, and nothing if it is free text.
func (a *Anonymizer) pseudonym(privacy format.Privacy, text string) string {
	switch {
	case privacy == format.Plain || text == "":
		return text
	case privacy != format.Identity && privacy != format.Topology:
		return ""
	}
	if known, ok := a.pseudonyms[text]; ok && privacy == format.Topology {
		return known
	}
	hasher, err := blake3.NewKeyed(a.key[:])
	if err != nil {
		panic(err) // only for a key of another size than its type has
	}
	hasher.Write([]byte{byte(privacy)})
	hasher.WriteString(text)
	pseudonym := hex.EncodeToString(hasher.Sum(nil)[:pseudonymBytes])
	if privacy == format.Topology && len(a.pseudonyms) < maxCachedPseudonyms {
		a.pseudonyms[text] = pseudonym
	}
	return pseudonym
}
