#!/bin/sh
# Builds the router. Cargo compares dates, which archives and copies may keep; this compares contents. It compiles the
# project's packages anew unless the sources and the program are those of the last complete build.
set -eu
cd "$(dirname "$0")/.."

program=target/release/reedsail-router
record=target/release/reedsail-router.sources

# Prints a checksum of every file that may decide what is compiled.
checksum_sources() {
    checksums=$(find Cargo.toml Cargo.lock build crates platform -type f -exec sha256sum {} +)
    printf '%s\n' "$checksums" | LC_ALL=C sort
}

# Whether the sources and the program are those of the last complete build.
is_last_build() {
    [ -f "$program" ] && [ "$last_build" = "$sources
$(sha256sum "$program")" ]
}

compile() {
    cargo build --release --locked --target-dir target -p reedsail_adapter
}

compile_anew() {
    cargo clean --release --locked --target-dir target --workspace
    compile
}

sources=$(checksum_sources)
last_build=
if [ -f "$record" ]; then
    last_build=$(cat "$record")
    # A build that fails leaves no record.
    rm "$record"
fi

if is_last_build; then
    compile
    # Another program of the same sources: something else has compiled packages in this folder.
    is_last_build || compile_anew
else
    compile_anew
fi

if [ "$(checksum_sources)" != "$sources" ]; then
    echo "the sources changed during the build; build again" >&2
    exit 1
fi
printf '%s\n%s\n' "$sources" "$(sha256sum "$program")" > "$record"
