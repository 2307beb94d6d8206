// Package peer links the wigeond processes with each other: authenticated
// WebSocket links that carry CBOR, membership, floods, and calls.
//
// Failures it guards against:
//   - A node dies or is cut off: its neighbours stop hearing it, rumour it as
//     suspect, and every member moves it to dead unless it refutes the rumour.
//   - A node is paused and goes on: it hears that it was called suspect or dead
//     and refutes that with a higher version of its own record. Its own judgement
//     is suspended after the pause, because it heard nobody while it stood still.
//   - A node restarts: it has a new incarnation, which replaces all that was
//     said about the old one.
//   - A link is silent, dead in one direction or slow: it is closed after a
//     timeout or when its bounded queue is full, and dialled again with jittered
//     backoff. What was lost is repaired by anti-entropy (OnLink,
//     RandomNeighbour), never by unbounded queues.
//   - A stranger connects: both sides prove a shared key before any message is
//     read, and the size of every message is bounded.
//
// The handshake authenticates a link; it does not encrypt it. Deployments whose
// network can be read or altered set TLS in Config and on the listener.
package peer
