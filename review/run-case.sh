# Sourced by each run.sh, with `case_folder` and `standin` set: runs the stand-in of a case from the repository's root.
set -u
cd "$case_folder" || exit 2
while [ ! -f deploy/balancer.toml ]; do
    [ "$PWD" != / ] || exit 2
    cd ..
done
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
SCRATCH=$(mktemp -d) || exit 2
RECORD="$case_folder/record.txt"
export RUN SCRATCH RECORD
rm -f "$RECORD"
if [ ! -x "target/review/$standin" ] || [ ! -x target/release/trestlesill ]; then
    echo "could not run: build the project and review/build.sh first" | tee "$RECORD"
    rm -rf "$SCRATCH"
    exit 2
fi
timeout -s KILL 115 "target/review/$standin"
code=$?
rm -rf "$SCRATCH"
case $code in
    0 | 1 | 2) exit $code ;;
    *) exit 2 ;;
esac
