package keyvalue

import "net"

// closeAtOnce is a hijack handler that drops the connection.
func closeAtOnce(connection net.Conn) { _ = connection.Close() }
