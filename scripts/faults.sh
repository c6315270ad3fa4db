# Faults that scripts/measure lets happen beside the load, each a function.

# FAULT_AT is the second of the run at which they begin.

# standin_faults URL JSON sets the faults of the stand-in behind a URL.
standin_faults() {
	local port=${1##*:}
	exec 4<>"/dev/tcp/127.0.0.1/${port%%/*}"
	printf 'POST /standin/faults HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' "${#2}" "$2" >&4
	cat <&4 >/dev/null
	exec 4>&-
}

# crash_engines kills two engines, which come back empty.
crash_engines() {
	sleep "$FAULT_AT"
	restart engine-1
	restart engine-2
}

# restart_routers kills a third of the routers, which start again.
restart_routers() {
	local i
	sleep "$FAULT_AT"
	for ((i = 1; i <= (ROUTERS + 2) / 3; i++)); do restart "router-$i"; done
}

# table_out takes the table away for TABLE_OUT seconds.
table_out() {
	sleep "$FAULT_AT"
	standin_faults "$TABLE" '{"down":true}'
	sleep "${TABLE_OUT:-10}"
	standin_faults "$TABLE" '{}'
}

# all_faults lets all of them happen together.
all_faults() {
	crash_engines &
	restart_routers &
	table_out &
	wait
}
