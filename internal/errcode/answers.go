package errcode

import "ferrypitch/internal/wire"

// HTTP status codes. They are defined here because a package without I/O must not import net/http.
const (
	badRequest         = 400
	unauthorized       = 401
	notFound           = 404
	preconditionFailed = 412
	tooLarge           = 413
	tooManyRequests    = 429
	badGateway         = 502
	unavailable        = 503
)

// answer holds what a caller receives for one kind of error.
type answer struct {
	name         string
	code         wire.Code // empty: the kind is sent over HTTP only
	httpStatus   int
	retryAfterMs int64 // default delay before a retry; 0: none is sent
	message      string
}

// answers maps each kind to its answer.
var answers = [KindCount]answer{
	NoValidLease:           {"no_valid_lease", wire.CodeRetry, unavailable, 500, "this router is not known to be up to date"},
	UnknownDatabase:        {"unknown_database", wire.CodeNoDatabase, notFound, 0, "no such database"},
	RouteRemoved:           {"route_removed", wire.CodeNoDatabase, notFound, 0, "no such database any more"},
	UnknownKey:             {"unknown_key", wire.CodeDenied, unauthorized, 0, "no such key"},
	KeyRevoked:             {"key_revoked", wire.CodeDenied, unauthorized, 0, "the key was taken away"},
	QuotaExceeded:          {"quota_exceeded", wire.CodeOverload, tooManyRequests, 500, "the tenant is at its limit"},
	NoHostAvailable:        {"no_host_available", wire.CodeRetry, unavailable, 200, "no host can serve it in time"},
	WriteNotSent:           {"write_not_sent", wire.CodeRetry, unavailable, 100, "it was not sent"},
	LeaseExpired:           {"lease_expired", wire.CodeAborted, unavailable, 200, "the primary may have been replaced"},
	PrimaryReplaced:        {"primary_replaced", wire.CodeAborted, unavailable, 100, "the primary was replaced"},
	RolledBack:             {"rolled_back", wire.CodeAborted, unavailable, 100, "the transaction was rolled back"},
	InDoubt:                {"in_doubt", wire.CodeInDoubt, badGateway, 0, "no answer; it may have run"},
	InDoubtPrimaryReplaced: {"in_doubt_primary_replaced", wire.CodeInDoubt, badGateway, 0, "the primary was replaced"},
	BadMessage:             {"bad_message", wire.CodeMalformed, badRequest, 0, "not a message of the wire"},
	BadStatement:           {"bad_statement", wire.CodeMalformed, badRequest, 0, "not a statement of the wire"},
	ConnectExpected:        {"connect_expected", wire.CodeMalformed, badRequest, 0, "CONNECT with a database and a word for who comes first"},
	PipelineTooDeep:        {"pipeline_too_deep", wire.CodeMalformed, badRequest, 0, "too many messages before an answer"},
	NoTransaction:          {"no_transaction", wire.CodeMalformed, badRequest, 0, "no transaction is open"},
	AlreadyInTransaction:   {"already_in_transaction", wire.CodeMalformed, badRequest, 0, "a transaction is open"},
	FailedTransaction:      {"failed_transaction", wire.CodeMalformed, badRequest, 0, "the transaction has failed"},
	UnknownPreparedName:    {"unknown_prepared_name", wire.CodeUnknownName, notFound, 0, "no such name"},
	SessionTooLarge:        {"session_too_large", wire.CodeOverload, tooLarge, 0, "more values or names than a session may have"},
	UnknownEndpoint:        {"unknown_endpoint", "", notFound, 0, "no such call"},
	InvalidBody:            {"invalid_body", "", badRequest, 0, "the body is not valid"},
	BodyTooLong:            {"body_too_long", "", tooLarge, 0, "the body is too long"},
	VersionConflict:        {"version_conflict", "", preconditionFailed, 0, "another version is in place"},
	NotFound:               {"not_found", "", notFound, 0, "not known"},
	NoLeader:               {"no_leader", "", unavailable, 0, "no member leads, or whether it was taken is not known"},
	TooManyPending:         {"too_many_pending", "", tooManyRequests, 0, "as many as are held are here"},
}
