package fpconn

// streamState is the state of a TCP connection whose reader has met the end of the stream.
type streamState uint8

const (
	// streamUnknown is the state of a connection on a system that doesn't tell it, and of one that isn't a TCP connection.
	streamUnknown streamState = iota
	// streamEnded states that the peer has ended its side of the connection.
	streamEnded
	// streamClosed states that the connection was reset, before or after the peer has ended its side.
	streamClosed
)
