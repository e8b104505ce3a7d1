# Emulated network links between failure domains for bin/quickstart, which sources this file. One emulator process
# forwards every connection between two places with a fixed latency and bandwidth, counts the bytes, and can cut links.
# A place is an end of links: a failure domain, a control member (control-DOMAIN, so that the member can be isolated on its
# own), or the callers of a failure domain (callers-DOMAIN).
# Uses free_port, run, domains, regions and user of quickstart.

declare -A link_place=() link_maps=()
link_endpoints=()

# link_add PLACE HOST:PORT: registers the place of an endpoint.
link_add() {
    link_place[$2]=$1
    link_endpoints+=("$2")
}

# link_domain PLACE: sets `domain` to the failure domain of a place.
link_domain() {
    domain=${1#control-}
    domain=${domain#callers-}
}

# link_route FROM TARGET: adds a route to the link file, and sets `port` to the port that the route listens on.
link_route() {
    free_port
    echo "listen=127.0.0.1:$port target=$2 from=$1 to=${link_place[$2]}" >>"$run/links"
}

# link_write_head: writes the domains, latencies and bandwidth of the user to the link file.
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

# link_write_maps: writes a route and an address map line for each place and each endpoint at another place; sets
# link_maps[PLACE] to the address map file.
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

# link_cut true|false PLACE...: cuts the links between the given places and all others, but not those among the given
# places; false restores the links.
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
