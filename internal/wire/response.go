package wire

import "fmt"

// TransactionState is the first field of IDLE.
type TransactionState byte

// The states of a connection.
const (
	StateIdle          TransactionState = 'I'
	StateInTransaction TransactionState = 'T'
	StateFailed        TransactionState = 'E' // a transaction failed and can only be rolled back
)

// maxRetainedTextBytes is the maximum length of the copies that a Response keeps of the first row and of an error text, in bytes.
const maxRetainedTextBytes = 256

// noStamp is the field of DONE for statements that neither read, write nor commit data. For the others, hosts send a stamp.
const noStamp = "-"

// Response collects the lines of a host's response to one message. The zero value is ready to use.
type Response struct {
	Lines     []byte           // ROW, DONE and ERROR lines as received, without IDLE
	RowCount  int              // number of ROW lines
	FirstRow  string           // fields of the first ROW line; empty if longer than 256 bytes
	HasStamp  bool             // DONE has a stamp: the statement was executed by a host
	Code      Code             // code of ERROR; empty if there was none
	ErrorText string           // first 256 bytes of the text of ERROR
	State     TransactionState // state in IDLE
	Position  Position         // position in IDLE; unknown if there was none
	ended     bool             // DONE or ERROR was received
}

// AddLine adds a line; raw is the same line with its CR LF. It returns true if the line is the IDLE that completes the response.
// The error is ErrMessageTooLong, ErrMalformed or ErrOutOfOrder; after it the connection must be closed.
func (r *Response) AddLine(line, raw []byte) (complete bool, err error) {
	word, fields := cutField(line)
	if string(word) == "IDLE" {
		err = r.addIdle(fields)
		return err == nil, err
	}
	if len(r.Lines)+len(raw) > MaxMessageBytes {
		return false, ErrMessageTooLong
	}
	switch string(word) {
	case "ROW":
		err = r.addRow(fields)
	case "DONE":
		err = r.addDone(fields)
	case "ERROR":
		err = r.addError(fields)
	default:
		err = fmt.Errorf("%w: %.40q in a response", ErrMalformed, word)
	}
	if err == nil {
		r.Lines = append(r.Lines, raw...)
	}
	return false, err
}

func (r *Response) addRow(fields []byte) error {
	if r.ended {
		return ErrOutOfOrder
	}
	r.RowCount++
	if r.RowCount == 1 && len(fields) <= maxRetainedTextBytes {
		r.FirstRow = string(fields)
	}
	return nil
}

func (r *Response) addDone(stamp []byte) error {
	if r.ended || len(stamp) == 0 {
		return ErrOutOfOrder
	}
	r.ended = true
	r.HasStamp = string(stamp) != noStamp
	return nil
}

func (r *Response) addError(fields []byte) error {
	code, text := cutField(fields)
	if r.ended || len(code) == 0 {
		return ErrOutOfOrder
	}
	r.ended = true
	r.Code = Code(code)
	r.ErrorText = string(text[:min(len(text), maxRetainedTextBytes)])
	return nil
}

func (r *Response) addIdle(fields []byte) (err error) {
	state, position := cutField(fields)
	switch string(state) {
	case "I", "T", "E":
		r.State = TransactionState(state[0])
	default:
		return fmt.Errorf("%w: IDLE %.20q", ErrMalformed, fields)
	}
	if len(position) > 0 {
		r.Position, err = ParsePosition(position)
	}
	return err
}

// Completed reports whether DONE or ERROR was received, after which only IDLE may follow.
func (r *Response) Completed() bool { return r.ended }

// AppendDone appends a DONE without a stamp, for a statement that the proxy answers itself.
func AppendDone(buffer []byte) []byte { return append(buffer, "DONE -\r\n"...) }

// AppendError appends an ERROR with a code and text.
func AppendError(buffer []byte, code Code, text string) []byte {
	buffer = append(buffer, "ERROR "...)
	buffer = append(buffer, code...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, text...)
	return append(buffer, '\r', '\n')
}

// AppendIdle appends the IDLE that ends a response.
func AppendIdle(buffer []byte, state TransactionState, position Position) []byte {
	buffer = append(buffer, "IDLE "...)
	buffer = append(buffer, byte(state), ' ')
	if position.Known() {
		buffer = appendPosition(buffer, position)
	} else {
		buffer = append(buffer, noPosition...)
	}
	return append(buffer, '\r', '\n')
}
