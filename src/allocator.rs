//! Settings of the system's memory allocator.

/// Blocks of at least this size are mapped on their own and unmapped when they are freed, bytes: the
/// default of glibc.
const MMAP_THRESHOLD: i32 = 128 << 10;

/// Has large blocks returned to the system when they are freed. By default, glibc raises the threshold
/// to the size of the largest block that was freed, and from then on each thread's part of the heap
/// keeps bodies of that size: a process held several times what its callers did.
pub fn return_large_blocks() {
  #[cfg(target_env = "gnu")]
  // SAFETY: `mallopt` may be called at any time. If it fails, the defaults stay in effect.
  unsafe {
    libc::mallopt(libc::M_MMAP_THRESHOLD, MMAP_THRESHOLD);
  }
}
