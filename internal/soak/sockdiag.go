package soak

import (
	"encoding/binary"
	"net/netip"
	"syscall"

	"github.com/zeebo/errs/v2"
)

// The kernel's interface for questions about sockets (sock_diag(7), linux/inet_diag.h).
const (
	netlinkSockDiag  = 4
	sockDiagByFamily = 20
	// sockDiagHeader is the size of a message's header, sockDiagRequest that of a question, and
	// sockDiagInode the offset of the inode in an answer, all in bytes.
	sockDiagHeader  = 16
	sockDiagRequest = 56
	sockDiagInode   = 68
)

// socketInode returns the inode of the TCP socket with the given addresses.
func socketInode(local, remote netip.AddrPort) (uint32, error) {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return 0, errs.Wrap(err)
	}
	defer syscall.Close(fd)
	if err := syscall.Sendto(fd, socketQuestion(local, remote), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, errs.Wrap(err)
	}
	buf := make([]byte, syscall.Getpagesize())
	n, _, err := syscall.Recvfrom(fd, buf, 0)
	if err != nil {
		return 0, errs.Wrap(err)
	}
	messages, err := syscall.ParseNetlinkMessage(buf[:n])
	if err != nil {
		return 0, errs.Wrap(err)
	}
	for _, m := range messages {
		if m.Header.Type == sockDiagByFamily && len(m.Data) >= sockDiagInode+4 {
			return binary.NativeEndian.Uint32(m.Data[sockDiagInode:]), nil
		}
	}
	return 0, errs.Errorf("no socket from %s to %s", local, remote)
}

// socketQuestion returns the message that asks for the socket with the given addresses.
func socketQuestion(local, remote netip.AddrPort) []byte {
	b := binary.NativeEndian.AppendUint32(nil, sockDiagHeader+sockDiagRequest)
	b = binary.NativeEndian.AppendUint16(b, sockDiagByFamily)
	b = binary.NativeEndian.AppendUint16(b, syscall.NLM_F_REQUEST)
	// The sequence number and the port are not used.
	b = append(b, make([]byte, 8)...)
	b = append(b, syscall.AF_INET, syscall.IPPROTO_TCP, 0, 0)
	// Sockets in all states.
	b = binary.NativeEndian.AppendUint32(b, ^uint32(0))
	b = binary.BigEndian.AppendUint16(b, local.Port())
	b = binary.BigEndian.AppendUint16(b, remote.Port())
	b = appendDiagAddr(b, local.Addr())
	b = appendDiagAddr(b, remote.Addr())
	// Any interface, and no cookie.
	b = binary.NativeEndian.AppendUint32(b, 0)
	return binary.NativeEndian.AppendUint64(b, ^uint64(0))
}

// appendDiagAddr appends an IPv4 address in a field that has room for an IPv6 address.
func appendDiagAddr(b []byte, a netip.Addr) []byte {
	ip := a.Unmap().As4()
	return append(append(b, ip[:]...), make([]byte, 12)...)
}
