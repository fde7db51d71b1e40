package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/go-playground/validator/v10"
	"github.com/gravitational/trace"
)

// maxFileBytes is the maximum size of a settings file (1 MiB).
const maxFileBytes = 1 << 20

var validate = validator.New(validator.WithRequiredStructEnabled())

// Read reads the settings file at the path in the environment variable EnvVar.
func Read() (*Settings, error) {
	path := os.Getenv(EnvVar)
	if path == "" {
		return nil, trace.BadParameter("%s: not set; it must contain the path of the settings file", EnvVar)
	}
	return ReadFile(path)
}

// ReadFile reads and validates a settings file. The error names the file and, for invalid content, the key. It is a
// trace.NotFound, trace.LimitExceeded or trace.BadParameter error, or another file system error.
func ReadFile(path string) (*Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if info.Size() > maxFileBytes {
		return nil, trace.LimitExceeded("%s: %d bytes, over 1 MiB", path, info.Size())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	settings, err := Parse(string(text))
	if err != nil {
		return nil, trace.BadParameter("%s: %v", path, err)
	}
	return settings, nil
}

// Parse parses and validates the text of a settings file. The error begins with the key, or with the line number if no key is
// known.
func Parse(text string) (*Settings, error) {
	settings := &Settings{BeatMs: defaultBeatMs}
	if _, err := toml.Decode(text, settings); err != nil {
		return nil, decodeError(err)
	}
	if err := validate.Struct(settings); err != nil {
		return nil, validationError(err)
	}
	if first, last := settings.PortRange[0], settings.PortRange[1]; last < first {
		return nil, fmt.Errorf("PortRange: %v: the last port must not be less than the first", settings.PortRange)
	}
	return settings, nil
}

// decodeError returns an error with the key and line number of a TOML syntax error.
func decodeError(err error) error {
	var syntaxError toml.ParseError
	if !errors.As(err, &syntaxError) {
		return err
	}
	if syntaxError.LastKey != "" {
		return fmt.Errorf("%s: line %d: %s", syntaxError.LastKey, syntaxError.Position.Line, syntaxError.Message)
	}
	return fmt.Errorf("line %d: %s", syntaxError.Position.Line, syntaxError.Message)
}

// validationError returns an error with the first invalid key, its value and the rule that it violates.
func validationError(err error) error {
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) || len(violations) == 0 {
		return err
	}
	first := violations[0]
	_, key, _ := strings.Cut(first.Namespace(), ".") // without the name of the struct type
	rule := first.Tag()
	if first.Param() != "" {
		rule += " " + first.Param()
	}
	return fmt.Errorf("%s: %v: must satisfy %s", key, first.Value(), rule)
}
