# Faults that scripts/measure lets happen beside the load, each a function.

# after SECONDS COMMAND... waits and then runs the command.
after() {
	sleep "$1"
	shift
	"$@"
}

# standin_faults PORT JSON sets a stand-in's faults.
standin_faults() {
	exec 4<>"/dev/tcp/127.0.0.1/$1"
	printf 'POST /standin/faults HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' "${#2}" "$2" >&4
	cat <&4 >/dev/null
	exec 4>&-
}
