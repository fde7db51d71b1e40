package cluster

import (
	"fmt"
	"time"

	"ferrypitch/internal/simulation/checker"
	"ferrypitch/internal/wire"
)

// Kinds of client operations.
const (
	operationRead        = "read"
	operationWrite       = "write"
	operationTransaction = "transaction"
)

var operations = []string{operationRead, operationWrite, operationTransaction}

// Shares of reads and writes among the operations, in tenths; the rest are transactions. Routes with bounded staleness accept
// no writes and run transactions instead.
const (
	readTenths  = 5
	writeTenths = 3
	allTenths   = 10
)

const (
	readKeys                 = 50 // number of keys that reads are spread over
	minTransactionStatements = 2
	transactionSpread        = 3 // number of different transaction lengths
)

// runOperation runs a random operation. It returns false if the session has ended.
func (s *session) runOperation() bool {
	s.operationAt = time.Now()
	draw := s.random.IntN(allTenths)
	switch {
	case draw < readTenths:
		return s.read()
	case draw < readTenths+writeTenths && s.kind != kindBounded:
		return s.write()
	}
	return s.transaction()
}

func (s *session) read() bool {
	response, ok := s.query(s.fetchText(), s.cluster.now())
	return s.count(operationRead, response.Code, ok)
}

func (s *session) write() bool {
	code, ok := s.store()
	return s.count(operationWrite, code, ok)
}

// store runs a single write outside a transaction.
func (s *session) store() (wire.Code, bool) {
	data := s.attemptWrite()
	response, ok := s.query("STORE t1 "+data, s.cluster.now())
	if ok {
		s.reportAnswer([]string{data}, response.Code)
	}
	return response.Code, ok
}

// transaction runs a transaction of alternating reads and writes, or of reads only on bounded routes, and commits it.
func (s *session) transaction() bool {
	begin, beganAt := "BEGIN", s.cluster.now()
	if s.kind == kindBounded {
		begin = "BEGIN FETCH"
	}
	response, ok := s.query(begin, beganAt)
	if !ok || response.Code != "" {
		return s.count(operationTransaction, response.Code, ok)
	}
	var writes []string
	for i := range minTransactionStatements + s.random.IntN(transactionSpread) {
		text := s.fetchText()
		if i%2 == 1 && s.kind != kindBounded {
			data := s.attemptWrite()
			writes = append(writes, data)
			text = "STORE t2 " + data
		}
		if response, ok = s.query(text, beganAt); !ok {
			return s.count(operationTransaction, "", false)
		}
		if response.Code != "" {
			return s.abort(response, writes, beganAt)
		}
	}
	if response, ok = s.query("COMMIT", beganAt); ok {
		s.reportAnswer(writes, response.Code)
	}
	return s.count(operationTransaction, response.Code, ok)
}

// abort ends a transaction after a statement in it has failed.
func (s *session) abort(response wire.Response, writes []string, beganAt int64) bool {
	if response.Code.NothingKept() {
		s.cluster.withChecker(func(checker *checker.Checker) { checker.ReportNothingKept(writes) })
	}
	s.count(operationTransaction, response.Code, true)
	ok := true
	if response.State == 'E' {
		response, ok = s.query("ABORT", beganAt)
	}
	return ok && response.State == 'I'
}

func (s *session) fetchText() string { return fmt.Sprintf("FETCH t%d", s.random.IntN(readKeys)) }

// attemptWrite reports a new write to the checker and returns its data.
func (s *session) attemptWrite() string {
	data := fmt.Sprintf("%s-%d", s.name, s.statements)
	s.cluster.withChecker(func(checker *checker.Checker) { checker.ReportAttempt(data) })
	return data
}

// reportAnswer reports the answer to writes to the checker, and records the time to the first write that started after the
// crash of the primary and was acknowledged.
func (s *session) reportAnswer(writes []string, code wire.Code) {
	c := s.cluster
	c.withChecker(func(checker *checker.Checker) { checker.ReportAnswer(s.name, writes, code, c.now()) })
	c.mu.Lock()
	defer c.mu.Unlock()
	afterCrash := !c.crashedAt.IsZero() && s.operationAt.After(c.crashedAt)
	if code == "" && len(writes) > 0 && afterCrash && c.result.WriteGap == 0 {
		c.result.WriteGap = time.Since(c.crashedAt)
	}
}

// count counts the outcome of an operation and returns ok, which is false if the session has ended.
func (s *session) count(operation string, code wire.Code, ok bool) bool {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	key := outcomeKey{s.kind, operation}
	outcomes := s.cluster.outcomes[key]
	if outcomes == nil {
		outcomes = &Outcomes{RouteKind: s.kind, Operation: operation}
		s.cluster.outcomes[key] = outcomes
	}
	switch {
	case !ok:
		outcomes.Failed++
	case code == "":
		outcomes.Answered++
	case code.NothingKept():
		outcomes.NothingKept++
	case code == wire.CodeInDoubt:
		outcomes.InDoubt++
	default:
		outcomes.Failed++
	}
	return ok
}
