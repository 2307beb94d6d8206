// Package child starts processes that end with the test program that started them.
//
// A router that is still running after the end of its test program goes on sending requests to the addresses of that
// program's stand-ins. Another test program can reserve these addresses, and its stand-ins
// then record requests that none of its own routers has sent.
package child
