@0x83b3c14c3c8dd083;
# The annotation of the Rust generator that `mesh.capnp` uses.

annotation parentModule @0xabee386cd1450364 (file) :Text;
