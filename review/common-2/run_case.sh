# Sourced by the run.sh of a case: `run_case FOLDER DRIVER` plays a case and returns its verdict: 0 if the rule held,
# 1 if it was broken, 2 if the case could not run. It needs the builds of the deploy file and of review/build-2.sh.
run_case() {
  local case_folder=$1 driver=$2 root status
  root=$(cd "$case_folder/../.." && pwd)
  cd "$root" || return 2
  if [ ! -x target/release/kitefork ] || [ ! -x "target/review-2/release/$driver" ]; then
    echo "verdict 2: build the programs of the deploy file and run review/build-2.sh first"
    return 2
  fi
  CASE_TMP=$(mktemp -d) || return 2
  export CASE=$case_folder CASE_TMP
  trap end_processes EXIT
  timeout --kill-after=2 112 "target/review-2/release/$driver" &
  driver_pid=$!
  trap 'exit 2' INT TERM HUP
  wait "$driver_pid"
  status=$?
  case $status in
    0 | 1) return "$status" ;;
    *) return 2 ;;
  esac
}

# Ends what the case has started, by its process numbers, and removes its temporary folder.
end_processes() {
  local pid
  if [ -n "${driver_pid:-}" ]; then
    kill "$driver_pid" 2>/dev/null
  fi
  if [ -f "$CASE_TMP/pids" ]; then
    while read -r pid; do
      # A number may belong to another process by now: the program's name is checked.
      if [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = kitefork ]; then
        kill -KILL "$pid" 2>/dev/null
      fi
    done <"$CASE_TMP/pids"
  fi
  rm -rf "$CASE_TMP"
}
