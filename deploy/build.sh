# Installs the locked libraries and firhook itself into target/deps.
set -eu
if [ ! target/deps/.locked -nt requirements.lock ]; then
    python3 -m pip install --quiet --disable-pip-version-check \
        --upgrade --target target/deps -r requirements.lock
    touch target/deps/.locked
fi
rm -rf target/deps/firhook
cp -R src/firhook target/deps/firhook
# Machines mount the repository read-only: without compiled files each start
# would compile everything anew.
python3 -m compileall -q target/deps/firhook
