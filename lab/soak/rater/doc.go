// Package rater is a stand-in rater that is a process of its own: it registers with a fleet, and ends its runs in every way
// that the protocol lets a rater end them. Event and Received are the stream that it sends and how a client judges it.
package rater
