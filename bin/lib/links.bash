# Links between failure domains for bin/quickstart: sourced, not run. One process of the emulator forwards every
# connection between two places with the brief's latency and bandwidth, counts bytes, and can cut. A place is a failure
# domain, a control member (control-DOMAIN, so that it can be cut off alone), or the callers of a domain (callers-DOMAIN).
# Needs free_port, run, domains, regions and user of quickstart.

declare -A link_place=() link_maps=()
link_endpoints=()

# link_add PLACE HOST:PORT: notes where an endpoint is.
link_add() {
    link_place[$2]=$1
    link_endpoints+=("$2")
}

# link_domain PLACE: sets `domain` to the failure domain of a place.
link_domain() {
    domain=${1#control-}
    domain=${domain#callers-}
}

# link_route FROM TARGET: adds a route, and sets `port` to where it listens.
link_route() {
    free_port
    echo "listen=127.0.0.1:$port target=$2 from=$1 to=${link_place[$2]}" >>"$run/links"
}

# link_write_head: domains, latencies and bandwidth of the user.
link_write_head() {
    local near=1.5 i j place
    [ "$user" = entoto ] || near=0.5
    {
        for i in 0 1 2; do
            for place in "" control- callers-; do echo "domain $place${domains[$i]} ${regions[$i]}"; done
            echo "latency callers-${domains[$i]} ${domains[$i]} 1"
            for j in 0 1 2; do
                [ "$j" -gt "$i" ] || continue
                local ms=$near
                [ "${regions[$i]}" = "${regions[$j]}" ] || ms=8
                echo "latency ${domains[$i]} ${domains[$j]} $ms"
                echo "latency control-${domains[$i]} ${domains[$j]} $ms"
                echo "latency ${domains[$i]} control-${domains[$j]} $ms"
                echo "latency control-${domains[$i]} control-${domains[$j]} $ms"
            done
        done
        echo "bandwidth ${regions[0]} ${regions[2]} 20"
    } >"$run/links"
}

# link_write_maps: a route and a map line for each place and each endpoint elsewhere; sets link_maps[PLACE].
link_write_maps() {
    local i from target place
    for i in 0 1 2; do
        for from in "${domains[$i]}" "control-${domains[$i]}"; do
            link_maps[$from]=$run/map-$from
            : >"$run/map-$from"
            for target in "${link_endpoints[@]}"; do
                place=${link_place[$target]}
                [ "$place" != "$from" ] || continue
                link_route "$from" "$target"
                echo "$target=127.0.0.1:$port" >>"$run/map-$from"
            done
        done
    done
}

# link_cut true|false PLACE...: cuts places off from all others, but not from each other; or heals them.
link_cut() {
    local cut=$1 place other cut_off
    shift
    cut_off=" $* "
    for place in "$@"; do
        for other in "${!link_maps[@]}"; do
            [[ $cut_off != *" $other "* ]] || continue
            post "$link_http" hornbeamspread.Links/SetCut \
                "{\"from\": \"$place\", \"to\": \"$other\", \"cut\": $cut, \"bothDirections\": true}"
        done
    done
}
