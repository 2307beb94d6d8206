// Package peer connects the wigeond processes (nodes) with each other. It
// maintains authenticated WebSocket links that carry CBOR messages, the
// membership of the fleet, floods (messages that every node forwards), and
// calls (requests with a reply).
//
// Failures it guards against:
//   - A node crashes or is cut off: its neighbours stop receiving from it and report
//     it as suspect. Every member marks the node dead unless the node refutes the
//     suspicion in time.
//   - A node is paused and resumes: it receives the reports that mark it suspect
//     or dead and refutes them with a higher version of its own record. Its own
//     failure detection starts over after the pause, because it received nothing
//     from the other nodes during the pause.
//   - A node restarts: its new incarnation replaces all that was known about the
//     old one.
//   - A link is silent, broken in one direction or slow: the link is closed after a
//     timeout or when its bounded queue is full, and the node is dialled again with
//     jittered backoff. Anti-entropy (OnLink, RandomNeighbour) repairs the loss of
//     messages, so queues need not grow without bound to avoid such losses.
//   - A process without the shared key connects: both sides prove the key before
//     any other message is read, and the size of every message is bounded.
//
// The handshake authenticates a link but does not encrypt it. Deployments whose
// network can be read or altered by others set TLS in Config and on the listener.
package peer
