package quota

// Ask is a proxy's usage report and token request for one tenant. Its field names are part of the wire format.
type Ask struct {
	Tenant    string
	Used      int // tokens of the request's term that were spent since the last request
	Returned  int // unspent tokens of the request's term that the proxy returns
	Overdrawn int // operations that were sent without a token
	Want      int // tokens requested in total, including Urgent
	Urgent    int // tokens for operations that are waiting or were refused
}

// Answer is the lender's answer to an Ask. Its field names are part of the wire format.
type Answer struct {
	Tenant       string
	Granted      int   // number of tokens lent
	AtLimit      bool  // Granted is less than Urgent
	RetryAfterMs int64 // expected time until tokens are available, if AtLimit
}
