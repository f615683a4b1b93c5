package gateway

import "sparspread/policy"

// Units of policy.Time.
const (
	microsecond policy.Time = 1
	millisecond             = 1000 * microsecond
	second                  = 1000 * millisecond
)
