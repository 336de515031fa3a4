# Functions that start a fleet on loopback, one process per part. Sourced by scripts/demo and scripts/processes.
#
# Every process that these functions start ends when the sourcing script ends.

FLEET_FOLDER="$(mktemp -d)"
BUILD_FOLDER="${BUILD_FOLDER:-build}"
declare -A FLEET_PIDS=() FLEET_PORTS=() FLEET_COMMANDS=()

fleet_stop_all() {
    local pid
    for pid in "${FLEET_PIDS[@]}"; do
        kill -KILL "${pid}" 2> /dev/null || true
    done
    wait 2> /dev/null || true
    rm -rf "${FLEET_FOLDER}"
}
trap fleet_stop_all EXIT
trap 'exit 130' INT TERM

fleet_log() {
    printf '%s %s\n' "$(date +%H:%M:%S)" "$*"
}

# Builds what the fleet needs.
fleet_build() {
    cmake -S . -B "${BUILD_FOLDER}" -G Ninja > /dev/null
    cmake --build "${BUILD_FOLDER}" --target ibismast-standin ibismast-entry ibismast-agent ibismast-load \
        ibismastctl
}

# fleet_program NAME: prints the path of a built program.
fleet_program() {
    find "${BUILD_FOLDER}" -type f -name "$1" -perm -u+x | head -n 1
}

# fleet_start NAME COMMAND...: starts a process in the background; its output goes to the log of its name.
fleet_start() {
    local name="$1"
    shift
    FLEET_COMMANDS[${name}]="$(printf '%q ' "$@")"
    "$@" >> "${FLEET_FOLDER}/${name}.log" 2>&1 &
    FLEET_PIDS[${name}]=$!
}

# fleet_wait_port NAME KEY: waits for KEY=<port> in the log that the last start of NAME writes.
fleet_wait_port() {
    local name="$1" key="$2" port="" attempt
    for attempt in $(seq 200); do
        port="$(grep -oE "${key}=\"?[0-9]+" "${FLEET_FOLDER}/${name}.log" 2> /dev/null | tail -n 1 | grep -oE '[0-9]+$' || true)"
        if [ -n "${port}" ]; then
            FLEET_PORTS[${name}]="${port}"
            return 0
        fi
        if ! kill -0 "${FLEET_PIDS[${name}]}" 2> /dev/null; then
            break
        fi
        sleep 0.05
    done
    echo "the process ${name} did not start; its log ends with:" >&2
    tail -n 20 "${FLEET_FOLDER}/${name}.log" >&2
    return 1
}

# fleet_standin NAME SUBCOMMAND OPTION...: starts a stand-in on a free port.
fleet_standin() {
    local name="$1"
    shift
    fleet_start "${name}" "${STANDIN}" "$@" --port 0
    fleet_wait_port "${name}" port
    # A restart must take the same port.
    FLEET_COMMANDS[${name}]="$(printf '%q ' "${STANDIN}" "$@" --port "${FLEET_PORTS[${name}]}")"
}

# fleet_control NAME JSON: sends a control command to a stand-in.
fleet_control() {
    curl -sS --fail-with-body -o /dev/null -d "$2" "http://127.0.0.1:${FLEET_PORTS[$1]}/control"
}

# fleet_status NAME KEY: prints a number of a stand-in's counters.
fleet_status() {
    curl -sS "http://127.0.0.1:${FLEET_PORTS[$1]}/control" | grep -oE "\"$2\":-?[0-9]+" | grep -oE -- '-?[0-9]+$'
}

# fleet_announce ID ROLE DOMAIN [STATE]: puts a process on the instance list.
fleet_announce() {
    fleet_control instancelist "{\"set\":[{\"id\":\"$1\",\"role\":\"$2\",\"domain\":\"$3\",\"state\":\"${4:-live}\",
        \"address\":\"127.0.0.1:${FLEET_PORTS[$1]}\"}]}"
}

# fleet_store_section: prints the section that makes a process take the fleet's configuration.
fleet_store_section() {
    printf '[store]\ngateway = http://127.0.0.1:%s\ncall_timeout_ms = 500\n' "${FLEET_PORTS[keyvalue]}"
    printf 'reads_per_second = 200\nwrites_per_second = 100\n'
}

# fleet_agent ID DOMAIN SECTION: starts an agent; SECTION is the text of its [engine] or [service] section.
fleet_agent() {
    local id="$1" domain="$2" section="$3" settings="${FLEET_FOLDER}/$1.ini"
    {
        printf '[instance]\nid = %s\ndomain = %s\n[peers]\nlisten = 127.0.0.1:0\n%s\n' \
            "${id}" "${domain}" "${section}"
        fleet_store_section
    } > "${settings}"
    fleet_start "${id}" "${AGENT}" --settings "${settings}"
    fleet_wait_port "${id}" peer_port
    sed -i "s/^listen = .*/listen = 127.0.0.1:${FLEET_PORTS[${id}]}/" "${settings}"
    fleet_announce "${id}" agent "${domain}"
}

# fleet_engine_agent ID DOMAIN ENGINE: starts an agent beside the engine stand-in ENGINE.
fleet_engine_agent() {
    fleet_agent "$1" "$2" "[engine]
address = 127.0.0.1:${FLEET_PORTS[$3]}
models = model
memory_capacity_tokens = ${ENGINE_CAPACITY}"
}

# fleet_declare: writes the fleet's declarations to fleet.ini. CUSTOMERS holds name:key:weight.
fleet_declare() {
    local customer name key weight
    {
        printf '[model model]\nversion = 1\ncopies_per_domain = 1\nmemory_tokens = %s\n' "${ENGINE_CAPACITY}"
        printf '[service registration]\naddress = 127.0.0.1:1\n'
        printf '[call register]\nservice = registration\nmethod = PUT\npath = /**\n'
        for customer in "${CUSTOMERS[@]}"; do
            IFS=: read -r name key weight <<< "${customer}"
            printf '[customer %s]\nweight = %s\napi_key_sha256 = %s\n' "${name}" "${weight}" \
                "$(printf %s "${key}" | sha256sum | cut -d' ' -f1)"
        done
    } > "${FLEET_FOLDER}/fleet.ini"
}

# fleet_entry ID DOMAIN: starts an entry that finds its agents on the instance list and its configuration in the
# key-value service.
fleet_entry() {
    local id="$1" domain="$2" settings="${FLEET_FOLDER}/$1.ini"
    {
        printf '[instance]\nid = %s\ndomain = %s\n' "${id}" "${domain}"
        printf '[http]\nlisten = 127.0.0.1:0\n'
        printf '[instances]\nurl = http://127.0.0.1:%s/instances\ninterval_ms = 200\n' "${FLEET_PORTS[instancelist]}"
        fleet_store_section
        printf '[operators]\nlisten = 127.0.0.1:0\nplain_name = operator\nplain_role = editor\n'
    } > "${settings}"
    fleet_start "${id}" "${ENTRY}" --settings "${settings}"
    fleet_wait_port "${id}" operator_port
    FLEET_PORTS[${id}-operators]="${FLEET_PORTS[${id}]}"
    fleet_wait_port "${id}" http_port
    sed -i "s/^listen = 127.0.0.1:0/listen = 127.0.0.1:${FLEET_PORTS[${id}]}/;
        /^\[operators\]/,\$s/^listen = .*/listen = 127.0.0.1:${FLEET_PORTS[${id}-operators]}/" "${settings}"
}

# fleet_apply ENTRY: makes the declarations the fleet's configuration, through the operators' service of an entry.
fleet_apply() {
    local attempt
    fleet_declare
    for attempt in $(seq 20); do
        if "${CTL}" --port "${FLEET_PORTS[$1-operators]}" apply --wait --wait-seconds 10 --change-id first \
            "${FLEET_FOLDER}/fleet.ini" > "${FLEET_FOLDER}/apply.log" 2>&1; then
            return 0
        fi
        sleep 0.1
    done
    echo "the declarations were not applied:" >&2
    cat "${FLEET_FOLDER}/apply.log" >&2
    return 1
}

# fleet_wait_ready ENTRY: waits until the entry takes requests and a completion succeeds.
fleet_wait_ready() {
    local attempt key
    key="$(cut -d: -f2 <<< "${CUSTOMERS[0]}")"
    for attempt in $(seq 100); do
        if curl -sS -f -o /dev/null -m 5 -H "Authorization: Bearer ${key}" \
            -d '{"model":"model","prompt":"ready?","max_tokens":4}' \
            "http://127.0.0.1:${FLEET_PORTS[$1]}/v1/completions" 2> /dev/null; then
            return 0
        fi
        sleep 0.1
    done
    echo "the entry $1 answers no completion; its log ends with:" >&2
    tail -n 20 "${FLEET_FOLDER}/$1.log" >&2
    return 1
}

# fleet_signal SIGNAL NAME: sends a signal to one process of the fleet.
fleet_signal() {
    kill "-$1" "${FLEET_PIDS[$2]}"
}

# fleet_kill NAME: ends a process at once and waits for its end.
fleet_kill() {
    fleet_signal KILL "$1"
    wait "${FLEET_PIDS[$1]}" 2> /dev/null || true
}

# fleet_restart NAME: starts a process that has ended again, with the same command and port.
fleet_restart() {
    local command="${FLEET_COMMANDS[$1]}"
    eval "exec ${command}" >> "${FLEET_FOLDER}/$1.log" 2>&1 &
    FLEET_PIDS[$1]=$!
}

# fleet_find_programs: sets the paths of the programs.
fleet_find_programs() {
    STANDIN="$(fleet_program ibismast-standin)"
    AGENT="$(fleet_program ibismast-agent)"
    ENTRY="$(fleet_program ibismast-entry)"
    LOAD="$(fleet_program ibismast-load)"
    CTL="$(fleet_program ibismastctl)"
}
