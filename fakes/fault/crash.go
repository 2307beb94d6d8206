package fault

import "time"

// CrashMark in the body of a request makes each backend server crash that begins to run it.
const CrashMark = "crashes its backend server"

// RestartDelay is how long after such a crash a backend server is back.
const RestartDelay = 2 * time.Second
