# Functions that the scripts share: building, and starting and stopping the
# processes of one small deployment on free ports of the loopback address.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BIN="$ROOT/bin"
RUN=$(mktemp -d)
build() {
	(cd "$ROOT" && go build -o bin/ ./cmd/...)
}

# start NAME COMMAND... runs a process whose log goes to a file.
start() {
	local name=$1
	shift
	"$@" >>"$RUN/$name.log" 2>&1 &
	echo $! >>"$RUN/pids"
	echo $! >"$RUN/$name.pid"
	printf '%q ' "$@" >"$RUN/$name.cmd"
}

# restart NAME kills a process and starts it again as before.
restart() {
	local pid
	pid=$(<"$RUN/$1.pid")
	kill -KILL "$pid" 2>/dev/null || true
	while kill -0 "$pid" 2>/dev/null; do sleep 0.02; done
	eval "start $1 $(<"$RUN/$1.cmd")"
}

# stop_all ends the processes that these functions started, by their ids.
stop_all() {
	local pid
	[[ -f $RUN/pids ]] || return 0
	while read -r pid; do
		kill -TERM "$pid" 2>/dev/null || true
	done <"$RUN/pids"
	while read -r pid; do
		wait "$pid" 2>/dev/null || true
		while kill -0 "$pid" 2>/dev/null; do sleep 0.02; done
	done <"$RUN/pids"
	rm -f "$RUN/pids"
}

# answers PORT PATH succeeds if a GET is answered with status 200.
answers() {
	local line
	exec 3<>"/dev/tcp/127.0.0.1/$1" || return 1
	printf 'GET %s HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n' "$2" >&3
	read -r line <&3 || line=
	exec 3>&-
	[[ $line == *" 200 "* ]]
}

# await PORT PATH waits up to ten seconds for answers.
await() {
	local i
	for ((i = 0; i < 200; i++)); do
		if answers "$1" "$2" 2>/dev/null; then return 0; fi
		sleep 0.05
	done
	echo "nothing answers on port $1 at $2" >&2
	return 1
}

# platform SERVICE ENGINES MODEL PLAIN KEPT starts the stand-ins of one
# deployment. It sets TABLE, OBJECTS, VMS and EVENT_DOORS. ENGINE_FLAGS are added
# to every engine.
platform() {
	local service=$1 engines=$2 model=$3 plain=$4 kept=$5 i ports vms=()
	mapfile -t ports < <("$BIN/pathhead-load" ports $((engines + 5)))
	TABLE=http://127.0.0.1:${ports[0]}
	OBJECTS=http://127.0.0.1:${ports[1]}
	VMS=http://127.0.0.1:${ports[2]}/vms
	start table "$BIN/pathhead-standin" --listen "127.0.0.1:${ports[0]}" table
	start objects "$BIN/pathhead-standin" --listen "127.0.0.1:${ports[1]}" objects
	start plain "$BIN/pathhead-standin" --listen "127.0.0.1:${ports[3]}" --name "$plain-1" service
	start kept "$BIN/pathhead-standin" --listen "127.0.0.1:${ports[4]}" --name "$kept-1" kept
	vms+=(--vm "127.0.0.1:${ports[3]};kind=service,service=$plain,name=$plain-1")
	vms+=(--vm "127.0.0.1:${ports[4]};kind=kept,service=$kept,name=$kept-1")
	EVENT_DOORS=127.0.0.1:${ports[3]}
	ENGINE_PORTS=("${ports[@]:5}")
	for ((i = 1; i <= engines; i++)); do
		local port=${ports[i + 4]}
		# shellcheck disable=SC2086
		start "engine-$i" "$BIN/pathhead-standin" --listen "127.0.0.1:$port" --name "$service-$i" --seed "$i" \
			engine --model "$model" ${ENGINE_FLAGS:-}
		vms+=(--vm "127.0.0.1:$port;kind=engine,service=$service,name=$service-$i")
		EVENT_DOORS+=,127.0.0.1:$port
	done
	start vms "$BIN/pathhead-standin" --listen "127.0.0.1:${ports[2]}" vms "${vms[@]}"
	export PATHHEAD_TABLE=$TABLE PATHHEAD_OBJECTS=$OBJECTS PATHHEAD_VMS=$VMS
}

# router I starts the I-th router on its ports; ROUTER_FLAGS are added.
router() {
	# shellcheck disable=SC2086
	start "router-$1" "$BIN/pathhead-router" --name "router-$1" \
		--callers "127.0.0.1:${CALLER_PORTS[$1 - 1]}" --operators "127.0.0.1:${OPERATOR_PORTS[$1 - 1]}" \
		--peers "127.0.0.1:${PEER_PORTS[$1 - 1]}" --seeds "$SEEDS" --balancer-lag 200ms ${ROUTER_FLAGS:-}
}

# routers N starts N routers; it sets CALLERS and PATHHEAD_DOORS.
routers() {
	local n=$1 i all
	mapfile -t all < <("$BIN/pathhead-load" ports $((3 * n)))
	CALLER_PORTS=("${all[@]:0:n}")
	OPERATOR_PORTS=("${all[@]:n:n}")
	PEER_PORTS=("${all[@]:2*n:n}")
	SEEDS=$(printf '127.0.0.1:%s,' "${PEER_PORTS[@]}")
	SEEDS=${SEEDS%,}
	CALLERS=$(printf '127.0.0.1:%s,' "${CALLER_PORTS[@]}")
	CALLERS=${CALLERS%,}
	PATHHEAD_DOORS=$(printf '127.0.0.1:%s,' "${OPERATOR_PORTS[@]}")
	export PATHHEAD_DOORS=${PATHHEAD_DOORS%,}
	for ((i = 1; i <= n; i++)); do router "$i"; done
	for port in "${OPERATOR_PORTS[@]}"; do await "$port" /healthz; done
}

# fleet N starts N fleet processes.
fleet() {
	local n=$1 i all
	mapfile -t all < <("$BIN/pathhead-load" ports $((2 * n)))
	for ((i = 1; i <= n; i++)); do
		start "fleet-$i" "$BIN/pathhead-fleet" --name "fleet-$i" --operators "127.0.0.1:${all[i - 1]}" \
			--peers "127.0.0.1:${all[n + i - 1]}" --seeds "$SEEDS"
	done
}

# ready waits until every router serves.
ready() {
	for port in "${CALLER_PORTS[@]}"; do await "$port" /readyz; done
}
