package fault

import "time"

// CrashMark in the body of a request makes every fake backend server crash that starts to run it.
const CrashMark = "crashes its backend server"

// RestartDelay is how long after a crash by CrashMark the backend server starts again.
const RestartDelay = 2 * time.Second
